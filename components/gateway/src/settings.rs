use clock::Millis;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Settings of an entry VM, read at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this VM.
    pub vm: Arc<str>,
    /// Failure domain of this VM.
    pub domain: Arc<str>,
    /// Region of this VM.
    pub region: Arc<str>,
    /// The region of every failure domain.
    pub regions: HashMap<Arc<str>, Arc<str>>,
    /// Addresses that this VM listens on.
    pub listen: Listen,
    /// Heartbeat addresses of a few peers, to join through; some may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Guarantees and limits of the deployment.
    pub bounds: Bounds,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// CPU limit of the process, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of this VM's connection, in Mbit/s.
    pub link_mbps: u32,
    /// Connections that the process may have open.
    pub max_connections: usize,
}

/// Addresses that an entry VM listens on.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Look-ups of callers.
    pub lookups: SocketAddr,
    /// The readiness check.
    pub readiness: SocketAddr,
    /// Peers that fetch changes they missed.
    pub changes: SocketAddr,
    /// Heartbeats of peers, over UDP.
    pub heartbeats: SocketAddr,
    /// Metrics; `None` if they are not served.
    pub metrics: Option<SocketAddr>,
}

/// Guarantees and limits that the deployment sets for all entry VMs.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time between two renewals of an upstream's entry in the store.
    pub renewal_interval: Millis,
    /// Time after which a leaving upstream must not get new requests.
    pub drain: Millis,
    /// Time after the end of an upstream from which another one may have its address.
    pub address_reuse: Millis,
    /// Time after which a new configuration or an evacuation must be in force.
    pub configuration: Millis,
    /// Time between the signal to stop and the forced end of the process.
    pub grace: Millis,
    /// Time after a disturbance in which its effects may still be seen.
    pub settling: Millis,
    /// The longest lease of a look-up.
    pub lease_max: Millis,
    /// Retries per request.
    pub retry_ratio: f64,
    /// The window in which retries are counted.
    pub retry_window: Millis,
    /// Retries allowed in a window beyond the ratio, over all VMs.
    pub retry_allowance: f64,
    /// Time after which a withdrawn key must not let a request run on any VM, in touch or not;
    /// `None` where the deployment doesn't ask for that.
    pub withdrawal: Option<Millis>,
    /// How usage caps of client accounts are counted.
    pub caps: Caps,
    /// The part of a region's requests that may move between two windows, 0 to 1.
    pub max_shift: f64,
}

/// How the usage caps of client accounts are counted, over all VMs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caps {
    /// The sliding window in which requests are counted.
    pub window: Millis,
    /// The part beyond rate and burst that is tolerated in a window, 0 to 1.
    pub overage: f64,
    /// Requests beyond that which are tolerated in a window.
    pub allowance: f64,
}

impl Default for Caps {
    fn default() -> Caps {
        Caps { window: Millis::from_secs(5), overage: 0.0, allowance: 0.0 }
    }
}
