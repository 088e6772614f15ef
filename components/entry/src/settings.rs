use clock::Millis;
use std::sync::Arc;

/// The settings of an entry VM, fixed while it runs.
#[derive(Clone)]
pub struct Settings {
    /// The name of this VM.
    pub vm: Arc<str>,
    /// The failure domain of this VM.
    pub domain: Arc<str>,
    /// Rises at each start, so that no two runs of `entryd` share a pair of name and incarnation.
    pub incarnation: u64,
    /// The key that all peers share; it signs tokens and order prefixes.
    pub peer_key: Arc<str>,
    /// How long an order id is valid and the outcome of the order is kept.
    pub order_retention: Millis,
    /// The most unexpired order ids that are kept; further orders are refused.
    pub orders_max: usize,
    /// The largest response body, in bytes, that is stored for retries of an order.
    pub response_bytes_max: usize,
    /// The interval between two load queries to an upstream.
    pub poll_interval: Millis,
    /// The interval at which shifts and drains advance while no requests arrive.
    pub tick_interval: Millis,
}

impl Settings {
    /// Settings with the default limits and intervals.
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
