//! The operators' interface and its client.
