use clock::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a VM is told about itself at its start.
#[derive(Clone, Debug)]
pub struct Node {
    /// The VM's name.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// The region of every failure domain.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Where it listens.
    pub listen: Listen,
    /// Where a few neighbours receive heartbeats; they may be gone.
    pub seeds: Vec<SocketAddr>,
    /// The figures of the promises.
    pub bounds: Bounds,
    /// The memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// The part of a processor that the process has, in thousandths.
    pub millicores: u32,
    /// The bandwidth of the VM's link, in Mbit/s.
    pub link_mbps: u32,
    /// The connections that the process may have open.
    pub connections: usize,
}

/// Where a VM listens.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Look-ups of callers.
    pub lookups: SocketAddr,
    /// The readiness check.
    pub readiness: SocketAddr,
    /// Neighbours that ask for changes they missed.
    pub changes: SocketAddr,
    /// Neighbours' heartbeats, over UDP.
    pub heartbeats: SocketAddr,
    /// Metrics, if they are served.
    pub metrics: Option<SocketAddr>,
}

/// The figures of the promises, as the deployment sets them.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time between two renewals of an upstream's entry.
    pub renewal: Millis,
    /// Time in which a leaving upstream gets its last request.
    pub drain: Millis,
    /// Time between the signal to stop and the end of the process.
    pub grace: Millis,
    /// Time that disturbances are allowed to echo.
    pub settle: Millis,
    /// The longest time that a look-up's answer counts.
    pub lease_max: Millis,
    /// Repeats per request.
    pub repeat_ratio: f64,
    /// The window in which repeats are counted.
    pub repeat_window: Millis,
    /// Repeats that are allowed beside the ratio, over all VMs.
    pub repeat_allowance: f64,
    /// The part of a region's requests that may move between two windows.
    pub shift_max: f64,
}
