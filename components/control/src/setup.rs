use crate::Dissemination;
use clock::{Clock, Millis};
use settings::Node;
use std::sync::Arc;
use store::{Directory, Store, Table};

/// What an agent needs to start.
#[derive(Clone)]
pub struct Settings {
    /// The node's own file.
    pub node: Node,
    /// Identifies this run of the agent; rises at each start on the same VM.
    pub incarnation: u64,
    /// Seeds the choice of peers.
    pub seed: u64,
    /// How news is passed on.
    pub dissemination: Arc<dyn Dissemination>,
    /// The clock.
    pub clock: Clock,
}

/// The platform as the agent uses it.
#[derive(Clone)]
pub struct Platform {
    /// The table service.
    pub table: Arc<dyn Table>,
    /// The object store.
    pub store: Arc<dyn Store>,
    /// The list of VMs.
    pub directory: Arc<dyn Directory>,
}

/// Time between two heartbeats of a node.
pub(crate) const HEARTBEAT: Millis = Millis(1000);

/// How long a node waits for the answer to a heartbeat.
pub(crate) const HEARTBEAT_TIMEOUT: Millis = Millis(400);

/// Time between two rounds in which fresh membership changes are passed on.
pub(crate) const RUMOUR: Millis = Millis(200);

/// Peers to which fresh membership changes go in one round.
pub(crate) const RUMOUR_FANOUT: usize = 2;

/// Peers that are asked to probe one that doesn't answer.
pub(crate) const INDIRECT_PROBES: usize = 3;

/// How long an upstream counts as leaving after the last source said so.
pub(crate) const NOTICE_HOLD: Millis = Millis(30_000);

/// A notice is passed on again when it is this much newer.
pub(crate) const NOTICE_REFRESH: Millis = Millis(10_000);

/// How long a VM must be missing from the platform's list before it counts as gone.
pub(crate) const GONE_AFTER: Millis = Millis(30_000);

/// How long a VM must be missing that this node never saw in the list, which may just lag.
pub(crate) const UNSEEN_GONE_AFTER: Millis = Millis(600_000);

/// The least time between two polls of the platform by one node.
pub(crate) const POLL_MIN: Millis = Millis(2000);

/// Polls of the platform by the whole fleet, a second.
pub(crate) const POLLS_PER_SECOND: u64 = 100;

/// How long the platform may take to answer a poll.
pub(crate) const PLATFORM_TIMEOUT: Millis = Millis(2000);

/// The least time between two snapshots.
pub(crate) const SNAPSHOT_MIN: Millis = Millis(100);

/// The period of polls in a fleet of `nodes`, so that the fleet's rate is fixed.
pub(crate) fn poll_period(nodes: usize) -> Millis {
    POLL_MIN.max(Millis(nodes as u64 * 1000 / POLLS_PER_SECOND))
}
