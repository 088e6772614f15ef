use crate::Plan;
use serde::{Deserialize, Serialize};
use settings::{Deployment, Drain, Preset};
use std::net::SocketAddr;
use std::sync::Arc;

/// Everything that decisions read, immutable and replaced as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The configuration version; it never falls at any node.
    pub version: u64,
    /// The digest of the declaration's body.
    pub digest: Arc<str>,
    /// The deployment in force.
    pub deployment: Arc<Deployment>,
    /// The preset in force.
    pub preset: Preset,
    /// Planned drains.
    pub drains: Vec<Drain>,
    /// The plan in force at this node.
    pub plan: Plan,
    /// Entry VMs, sorted by name.
    pub vms: Vec<Vm>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<Upstream>,
}

/// Whether a machine takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Live,
    /// It doesn't answer; it may be dead, paused or cut off.
    Suspect,
    /// It takes no new work and finishes what it has.
    Leaving,
}

/// An entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name, unique over its whole life.
    pub name: Arc<str>,
    /// Rises at each start of its `entryd`; zero while unknown.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where the other VMs' `entryd` reach it.
    pub relay: SocketAddr,
    /// Where the other VMs' `controld` reach it.
    pub peer: SocketAddr,
    /// Whether it takes new work.
    pub state: State,
}

/// A server of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// The VM's name, unique over its whole life.
    pub name: Arc<str>,
    /// The service it provides.
    pub service: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: State,
}
