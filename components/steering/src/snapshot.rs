use crate::Plan;
use serde::{Deserialize, Serialize};
use settings::{Deployment, Drain, Preset};
use std::net::SocketAddr;
use std::sync::Arc;

/// All state that decisions read. It is immutable; a change replaces the whole snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version of the configuration; it never decreases at any VM.
    pub version: u64,
    /// The digest of the declaration's body.
    pub digest: Arc<str>,
    /// The deployment in force.
    pub deployment: Arc<Deployment>,
    /// The preset in force.
    pub preset: Preset,
    /// Planned drains.
    pub drains: Vec<Drain>,
    /// The plan in force at this VM.
    pub plan: Plan,
    /// Entry VMs, sorted by name.
    pub vms: Vec<Vm>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<Upstream>,
}

/// Whether an entry VM or an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new requests.
    Live,
    /// It doesn't respond; it may be dead, paused or partitioned.
    Suspect,
    /// It takes no new requests and completes those in flight.
    Leaving,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name; never reused.
    pub name: Arc<str>,
    /// A number that rises at each start of the VM's `entryd`; zero while unknown.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The address for callers.
    pub caller: SocketAddr,
    /// The address for the `entryd` of other VMs.
    pub relay: SocketAddr,
    /// The address for the `controld` of other VMs.
    pub peer: SocketAddr,
    /// Whether it takes new requests.
    pub state: State,
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// The name of the upstream's VM; never reused.
    pub name: Arc<str>,
    /// The service that it provides.
    pub service: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The address for requests.
    pub address: SocketAddr,
    /// Whether it takes new requests.
    pub state: State,
}
