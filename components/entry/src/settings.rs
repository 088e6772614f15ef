use clock::Millis;
use std::sync::Arc;

/// What an entry VM is told at its start and never changes.
#[derive(Clone)]
pub struct Settings {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The failure domain that it runs in.
    pub domain: Arc<str>,
    /// Rises at each start, so that no two runs of `entryd` share a pair of name and incarnation.
    pub incarnation: u64,
    /// The key that all peers share; it signs tokens and order prefixes.
    pub peer_key: Arc<str>,
    /// How long the id of an order is valid and its outcome remembered.
    pub order_retention: Millis,
    /// The most order ids that are remembered; an order beyond them is refused.
    pub orders_max: usize,
    /// The most bytes of an order's answer that are kept for a repeat.
    pub response_bytes_max: usize,
    /// How often upstreams are asked for their load.
    pub poll_interval: Millis,
    /// How often the steps of shifts are taken, whether requests come or not.
    pub tick_interval: Millis,
}

impl Settings {
    /// A configuration with the usual bounds.
    pub fn new(vm: Arc<str>, domain: Arc<str>, incarnation: u64, peer_key: Arc<str>) -> Settings {
        Settings {
            vm,
            domain,
            incarnation,
            peer_key,
            order_retention: Millis::from_secs(900),
            orders_max: 100_000,
            response_bytes_max: 16 << 10,
            poll_interval: Millis::from_secs(1),
            tick_interval: Millis(100),
        }
    }
}
