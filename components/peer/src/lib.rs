//! Messages between VMs: heartbeats, configuration, relayed orders.
