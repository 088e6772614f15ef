//! Connections to upstreams, their health and their load reports.
