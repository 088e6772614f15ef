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

/// The agent's mutable state; its lock is never held across an `await`.
pub(crate) struct State {
    /// The known entry VMs and upstreams.
    pub roster: Roster,
    /// The installed configuration; `None` until there is one.
    pub installed: Option<Installed>,
    /// The installed plan.
    pub plan: Arc<Plan>,
    /// The versions that each peer reported last, by the peer's name.
    pub stamps: BTreeMap<Arc<str>, Stamp>,
    /// Newer configurations or plans to fetch, by the address of the peer that has them.
    pub updates: BTreeMap<SocketAddr, Update>,
    /// The origins of installed updates that haven't been pushed to peers yet.
    pub pending_pushes: Vec<Arc<str>>,
    /// The latest report of this VM's `entryd`.
    pub report: Option<EntryReport>,
    /// The latest load reports that this VM received as the planner, by VM name.
    pub loads: BTreeMap<Arc<str>, Load>,
    /// The planner's lease as last read, and since when it hasn't changed.
    pub lease: Option<ObservedLease>,
    /// Whether the last poll of the platform's table succeeded.
    pub platform_up: bool,
    /// The random numbers for the choice of peers and for jitter.
    pub random: SmallRng,
}

/// An installed configuration and the declaration that it refers to.
#[derive(Clone)]
pub(crate) struct Installed {
    /// The content of the table's row.
    pub current: Current,
    /// The declaration, decoded.
    pub declaration: Arc<Declaration>,
    /// The declaration as it was encoded, for peers that can't read the object store.
    pub body: Bytes,
}

/// A newer configuration or plan that a peer has.
#[derive(Clone, Debug)]
pub(crate) struct Update {
    /// The versions that the peer has installed.
    pub stamp: Stamp,
    /// The VM where the update originated.
    pub origin: Arc<str>,
}

/// A report of this VM's `entryd`.
#[derive(Clone, Debug)]
pub(crate) struct EntryReport {
    /// The report as received.
    pub report: Report,
    /// When it was received, by this VM's clock.
    pub received_at: Millis,
}

/// The planner's lease as it was last read from the table.
#[derive(Clone, Debug)]
pub(crate) struct ObservedLease {
    /// The row that holds the lease.
    pub row: LeaseRow,
    /// When this version of the row was first read, by this VM's clock.
    pub since: Millis,
}

impl State {
    /// The versions of the installed configuration and plan.
    pub fn stamp(&self) -> Stamp {
        Stamp {
            version: self.installed.as_ref().map_or(0, |installed| installed.current.version),
            epoch: self.plan.epoch,
            sequence: self.plan.sequence,
        }
    }

    /// Whether `stamp` has a newer configuration or a newer plan than the installed ones.
    pub fn is_behind(&self, stamp: Stamp) -> bool {
        let own = self.stamp();
        stamp.version > own.version || plan_order(stamp) > plan_order(own)
    }

    /// Records the lease's row as read at `now`, unless its version is known already.
    pub fn observe_lease(&mut self, row: LeaseRow, now: Millis) {
        match &self.lease {
            Some(known) if known.row.version >= row.version => {}
            _ => self.lease = Some(ObservedLease { row, since: now }),
        }
    }
}

/// Plans are ordered by epoch, then by sequence.
fn plan_order(stamp: Stamp) -> (u64, u64) {
    (stamp.epoch, stamp.sequence)
}
