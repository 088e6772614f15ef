use clock::Millis;
use std::sync::Arc;

/// What an entry VM is told at its start and never changes.
#[derive(Clone)]
pub struct Config {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The failure domain that it runs in.
    pub domain: Arc<str>,
    /// Rises at each start, so that no two runs of `entryd` share a pair of name and incarnation.
    pub incarnation: u64,
    /// The key that all peers share; it signs tokens and order prefixes.
    pub peer_key: Arc<str>,
    /// How long the id of an order is valid and its outcome remembered.
    pub retention: Millis,
    /// The most order ids that are remembered; an order beyond them is refused.
    pub orders: usize,
    /// The most bytes of an order's answer that are kept for a repeat.
    pub answer_bytes: usize,
    /// How often upstreams are asked for their load.
    pub poll: Millis,
    /// How often the steps of shifts are taken, whether requests come or not.
    pub tick: Millis,
}

impl Config {
    /// A configuration with the usual bounds.
    pub fn new(vm: Arc<str>, domain: Arc<str>, incarnation: u64, peer_key: Arc<str>) -> Config {
        Config {
            vm,
            domain,
            incarnation,
            peer_key,
            retention: Millis::from_secs(900),
            orders: 100_000,
            answer_bytes: 16 << 10,
            poll: Millis::from_secs(1),
            tick: Millis(100),
        }
    }
}
