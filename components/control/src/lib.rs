//! The control plane's agent: heartbeats, configuration, planner and snapshots.
