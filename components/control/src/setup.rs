use crate::Dissemination;
use clock::{Clock, Millis};
use settings::Node;
use std::sync::Arc;
use store::{Directory, Store, Table};

/// The agent's settings, fixed at its start.
#[derive(Clone)]
pub struct Settings {
    /// The VM's `node.ini`.
    pub node: Node,
    /// Identifies this run of the agent; greater at each start on the same VM.
    pub incarnation: u64,
    /// The seed of the random choice of peers and of jitter.
    pub seed: u64,
    /// How configurations and plans are pushed to peers.
    pub dissemination: Arc<dyn Dissemination>,
    /// The clock that all tasks of the agent use.
    pub clock: Clock,
}

/// The platform services that the agent uses.
#[derive(Clone)]
pub struct Platform {
    /// The table service, which holds the configuration, the plan and the planner's lease.
    pub table: Arc<dyn Table>,
    /// The object store, which holds the declarations.
    pub store: Arc<dyn Store>,
    /// The directory, which lists the entry VMs and upstreams.
    pub directory: Arc<dyn Directory>,
}

/// Time between two heartbeats that a VM sends.
pub(crate) const HEARTBEAT_INTERVAL: Millis = Millis(1000);

/// How long a VM waits for the reply to a heartbeat.
pub(crate) const HEARTBEAT_TIMEOUT: Millis = Millis(400);

/// Time between two rounds of gossip about membership changes.
pub(crate) const GOSSIP_INTERVAL: Millis = Millis(200);

/// Peers that are sent membership changes in one round of gossip.
pub(crate) const GOSSIP_FANOUT: usize = 2;

/// Peers that are asked to probe one that doesn't reply.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// How long an upstream counts as leaving after a source last reported it.
pub(crate) const NOTICE_TTL: Millis = Millis(30_000);

/// A notice is gossiped again when it is newer than the last one by at least this time.
pub(crate) const NOTICE_REFRESH_INTERVAL: Millis = Millis(10_000);

/// How long a VM must be missing from the platform's list before it is removed.
pub(crate) const REMOVAL_DELAY: Millis = Millis(30_000);

/// The removal delay for a VM that this agent has never seen in the list, which may just lag.
pub(crate) const UNLISTED_REMOVAL_DELAY: Millis = Millis(600_000);

/// The least time between two polls of the platform by one VM.
pub(crate) const MIN_POLL_INTERVAL: Millis = Millis(2000);

/// Polls of the platform per second, by the whole fleet.
pub(crate) const FLEET_POLLS_PER_SECOND: u64 = 100;

/// How long the platform may take to respond to a call.
pub(crate) const PLATFORM_TIMEOUT: Millis = Millis(2000);

/// The least time between the publication of two snapshots.
pub(crate) const MIN_SNAPSHOT_INTERVAL: Millis = Millis(100);

/// The time between two polls by each VM, chosen so that a large fleet's total rate is constant.
pub(crate) fn poll_interval(vms: usize) -> Millis {
    MIN_POLL_INTERVAL.max(Millis(vms as u64 * 1000 / FLEET_POLLS_PER_SECOND))
}
