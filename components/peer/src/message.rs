//! The messages between `controld` processes.
//!
//! Every message and reply begins with a [`Header`], so that any exchange also serves as a
//! heartbeat: it shows that the sender is alive and what it has installed, and gossips a bounded
//! number of membership changes. See docs/MEMBERSHIP.md.

use crate::Blob;
use crate::local::Demand;
use clock::Millis;
use errors::Kind;
use serde::{Deserialize, Serialize};
use settings::Drain;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::{Plan, Upstream, Vm};

/// The maximum size of an encoded message or reply, in bytes.
pub const MAX_MESSAGE: usize = 4 << 20;

/// The maximum number of membership changes in one header.
pub const MAX_RECORDS: usize = 8;

/// The maximum number of notices of leaving upstreams in one header.
pub const MAX_LEAVING_NOTICES: usize = 16;

/// A message to another VM's `controld`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The state of the sender, and the changes that it gossips.
    pub header: Header,
    /// What the receiver is to do.
    #[serde(rename = "ask")]
    pub request: Request,
}

/// The reply to a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The state of the replying VM, and the changes that it gossips.
    pub header: Header,
    /// The response to the message's request.
    pub body: Body,
}

/// The state of a VM and the changes that it gossips.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The sender's own record.
    pub own: Record,
    /// The configuration version and the plan that the sender has installed.
    pub stamp: Stamp,
    /// Membership changes that are still being gossiped.
    pub records: Vec<Record>,
    /// Upstreams that are leaving, as far as this is still being gossiped.
    #[serde(rename = "notices")]
    pub leaving_notices: Vec<LeavingNotice>,
    /// The digest of a part of the sender's roster, by which lost records are detected
    /// (anti-entropy).
    #[serde(rename = "sample")]
    pub roster_digest: RosterDigest,
}

/// The digest of a part of a roster; a receiver whose part differs replies with its records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDigest {
    /// The index of the part, less than `parts`.
    pub part: u16,
    /// The number of parts that the roster is divided into; zero means that there is no digest.
    pub parts: u16,
    /// The digest of the names, beats and states of the part's records.
    pub digest: u64,
}

/// The versions of the configuration and the plan that a VM has installed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The configuration's version; zero for none.
    pub version: u64,
    /// The plan's epoch; zero for none.
    pub epoch: u64,
    /// The plan's sequence within its epoch.
    pub sequence: u64,
}

/// The membership record of one VM.
///
/// Of two records of a VM the one with the greater (beat, state) is valid. Only the VM itself
/// raises its beat, so a VM that is wrongly suspected refutes this with a higher one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The VM, with its state.
    pub vm: Vm,
    /// The version of the record: initially the time at which the VM's `controld` started, and
    /// raised with each change that the VM makes to its own record.
    pub beat: u64,
}

/// A notice that an upstream is leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The upstream's name.
    pub upstream: Arc<str>,
    /// How long ago a source last reported it; a duration, since the clocks of two VMs differ.
    pub age: Millis,
}

/// A request to a peer's `controld`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Shows that the sender is alive.
    Heartbeat,
    /// Asks the receiver to fetch what is newer at the sender and to push it to further peers.
    Push {
        /// The VM where the update originated.
        origin: Arc<str>,
    },
    /// Asks the receiver to send a heartbeat to a peer that the sender can't reach.
    Probe {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// Fetches the configuration in force.
    Current,
    /// Fetches a declaration.
    Declaration {
        /// The digest of the declaration's body.
        digest: Arc<str>,
    },
    /// Fetches the plan in force.
    Plan,
    /// Fetches the records of all VMs and upstreams.
    Roster,
    /// Reports the sender's load to the planner.
    Load(Load),
}

/// The load of a VM, as reported to the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The epoch of the plan that the VM's `entryd` enforces.
    pub epoch: u64,
    /// The sequence of the plan that the VM's `entryd` enforces.
    pub sequence: u64,
    /// The number of that plan's shift.
    pub shift: u64,
    /// How much of that shift the `entryd` has completed; [`steering::SHARE_SCALE`] is all of it.
    pub settled: u32,
    /// Requests per second offered to the VM, admitted or not, by destination region.
    pub demand: Vec<Demand>,
    /// Requests per second that the shift still has to move.
    pub moving: u32,
}

/// The entry VMs and upstreams that a VM knows of, for a peer that starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// The entry VMs.
    pub records: Vec<Record>,
    /// The upstreams. A peer that can't reach the platform has no other source for them.
    pub upstreams: Vec<Upstream>,
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The request was processed and needs no data in response.
    #[serde(rename = "Heard")]
    Acknowledged,
    /// The peer that was to be probed did not reply.
    Unreachable,
    /// The receiver doesn't have what was requested, or can't do it now.
    Refused(Kind),
    /// The configuration in force.
    Current(Current),
    /// The encoded body of the requested declaration.
    Declaration(Blob),
    /// The plan in force.
    Plan(Plan),
    /// The records of all VMs and upstreams.
    Roster(Roster),
}

/// The table row that names the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// Incremented with each change by an operator.
    pub version: u64,
    /// The digest of the declaration's body in the object store.
    pub digest: Arc<str>,
    /// The name of the preset in force.
    pub preset: Arc<str>,
    /// The planned drains.
    pub drains: Vec<Drain>,
    /// The most recent operations, oldest first; the last one made this version.
    pub operations: Vec<Operation>,
}

/// An operation that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The id that the operator's client chose.
    pub id: Arc<str>,
    /// The version that the operation made.
    pub version: u64,
}
