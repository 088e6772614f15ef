//! How old a VM's copy of a feed may become, and what heartbeats tell about it.
//!
//! Changes must be in force on every VM within a bound after the store accepted them. A VM whose
//! copy was confirmed to be up to date at some moment knows all changes up to then, so it keeps the
//! bound by acting on the age of that confirmation, whatever dissemination does. See
//! docs/DATAPATH.md, "Age of a copy".

use crate::catalogue::Position;
use clock::Millis;
use std::cmp::Ordering;

/// The part of the bound, as a divisor, after which a VM requests a heartbeat from a reader.
const REQUEST_DIVISOR: u64 = 4;
/// The part of the bound, as a divisor, after which a VM reads from the store. The rest is for the
/// read, for a retry on a new connection, and for requests on their way to an upstream.
const READ_DIVISOR: u64 = 2;

/// The ages of a copy at which a VM acts, and the time for a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// From this age on, the VM requests a heartbeat from a reader of its region.
    pub request: Millis,
    /// From this age on, the VM reads from the store.
    pub read: Millis,
    /// The longest time for a transfer of changes that makes progress. One that takes longer is
    /// late, and may be faster on another connection.
    pub transfer: Millis,
}

impl Limits {
    /// The limits that keep changes in force within `bound`.
    pub fn new(bound: Millis) -> Limits {
        Limits {
            request: Millis(bound.0 / REQUEST_DIVISOR),
            read: Millis(bound.0 / READ_DIVISOR),
            transfer: bound,
        }
    }
}

/// What a heartbeat tells about the sender's copy of a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Revision of the newest change that the sender knows, or 0 if it has no copy.
    pub newest: u64,
    /// The sender knows all changes after this revision.
    pub complete_after: u64,
    /// Time since the sender's copy was confirmed to be up to date.
    pub age: Option<Millis>,
}

/// What a claim means for the receiver's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It was up to date this long before the claim was made.
    Confirmed(Millis),
    /// It lacks changes.
    Behind {
        /// Whether the sender can send only a full listing, as it doesn't know all the changes
        /// that the copy lacks.
        full: bool,
    },
    /// It is of an earlier era of the store than the sender's, or lacks the sender's configuration,
    /// so that it needs a full listing at once.
    Superseded,
    /// The claim doesn't tell: changes that the sender doesn't know may be missing.
    Unknown,
}

/// A claim with the era of its revisions and the sender's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The era of the sender's copy.
    pub era: u64,
    /// The version of the sender's configuration if the copy has one, or 0.
    pub version: u64,
    /// The claim.
    pub claim: Claim,
}

/// The receiver's copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// The position up to which it has all changes.
    pub position: Position,
    /// As in [`Report::version`].
    pub version: u64,
}

impl Report {
    /// What the report means for a copy; `None` if there is none yet. Revisions of different eras
    /// say nothing of each other, while a configuration only moves forward by its version: after
    /// the store came back from an older copy, a neighbour may be the only one to have it.
    pub fn standing(&self, copy: Option<Known>) -> Standing {
        let Some(copy) = copy else {
            return self.claim.standing(None);
        };
        match self.era.cmp(&copy.position.era) {
            Ordering::Greater => Standing::Superseded,
            Ordering::Less if self.version > copy.version => Standing::Superseded,
            Ordering::Less => Standing::Unknown,
            Ordering::Equal => match self.claim.standing(Some(copy.position.revision)) {
                Standing::Confirmed(_) | Standing::Unknown if self.version > copy.version => {
                    Standing::Superseded
                }
                standing => standing,
            },
        }
    }
}

impl Claim {
    /// What the claim means for a copy that has all changes up to `revision`; `None` if there is
    /// no copy yet.
    pub fn standing(&self, revision: Option<u64>) -> Standing {
        let Some(revision) = revision else {
            return if self.newest > 0 {
                Standing::Behind { full: true }
            } else {
                Standing::Unknown
            };
        };
        let is_complete = revision >= self.complete_after;
        match self.age {
            _ if self.newest > revision => Standing::Behind { full: !is_complete },
            Some(age) if is_complete => Standing::Confirmed(age),
            _ => Standing::Unknown,
        }
    }
}
