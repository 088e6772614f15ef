use crate::Roster;
use crate::rows::LeaseRow;
use bytes::Bytes;
use clock::Millis;
use peer::local::Report;
use peer::message::{Current, Load, Stamp};
use rand::rngs::SmallRng;
use settings::Declaration;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::Plan;

/// What an agent knows; it is never held across a wait.
pub(crate) struct State {
    /// The VMs and upstreams.
    pub roster: Roster,
    /// The configuration in force, once there is one.
    pub installed: Option<Installed>,
    /// The plan in force.
    pub plan: Arc<Plan>,
    /// What other nodes were last seen to have.
    pub stamps: BTreeMap<Arc<str>, Stamp>,
    /// Peers that have something newer.
    pub ahead: BTreeMap<SocketAddr, Ahead>,
    /// News that still have to be announced, by the node from which they set out.
    pub announcements: Vec<Arc<str>>,
    /// The last report of this VM's `entryd`, and when it came.
    pub report: Option<Heard>,
    /// What nodes last told this one as the planner.
    pub loads: BTreeMap<Arc<str>, Load>,
    /// The planner's lease as last seen, and since when it hasn't changed.
    pub lease: Option<Sighting>,
    /// Whether the platform answered last time.
    pub platform_up: bool,
    /// Chooses peers.
    pub random: SmallRng,
}

/// A configuration and the declaration that it points to.
#[derive(Clone)]
pub(crate) struct Installed {
    /// The row's content.
    pub current: Current,
    /// The declaration, decoded.
    pub declaration: Arc<Declaration>,
    /// The declaration's body, for peers that can't read the object store.
    pub body: Bytes,
}

/// A peer that has something newer.
#[derive(Clone, Debug)]
pub(crate) struct Ahead {
    /// What it has.
    pub stamp: Stamp,
    /// The node from which the news set out.
    pub origin: Arc<str>,
}

/// A report of this VM's `entryd`.
#[derive(Clone, Debug)]
pub(crate) struct Heard {
    /// The report.
    pub report: Report,
    /// When it came.
    pub at: Millis,
}

/// The planner's lease, as the row last read shows it.
#[derive(Clone, Debug)]
pub(crate) struct Sighting {
    /// The row.
    pub row: LeaseRow,
    /// When this version of the row was first seen, by this node's own clock.
    pub since: Millis,
}

impl State {
    /// The versions of what this node has installed.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            version: self.installed.as_ref().map_or(0, |installed| installed.current.version),
            epoch: self.plan.epoch,
            sequence: self.plan.sequence,
        }
    }

    /// Whether a node with `stamp` has a newer configuration or a newer plan.
    pub fn is_behind(&self, stamp: Stamp) -> bool {
        let own = self.stamp();
        stamp.version > own.version || plan_order(stamp) > plan_order(own)
    }

    /// Notes the lease's row as read at `now`.
    pub fn sight_lease(&mut self, row: LeaseRow, now: Millis) {
        match &self.lease {
            Some(seen) if seen.row.version >= row.version => {}
            _ => self.lease = Some(Sighting { row, since: now }),
        }
    }
}

fn plan_order(stamp: Stamp) -> (u64, u64) {
    (stamp.epoch, stamp.sequence)
}
