//! What `controld` processes tell each other.
//!
//! Every message and reply begins with a [`Header`], so that any exchange also serves as a
//! heartbeat: it shows that the sender lives, what it has installed, and passes on a bounded
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

/// The longest message or reply, encoded, in bytes.
pub const MAX_MESSAGE: usize = 4 << 20;

/// The most membership changes in one header.
pub const MAX_RECORDS: usize = 8;

/// The most notices of leaving upstreams in one header.
pub const MAX_LEAVING_NOTICES: usize = 16;

/// A message to another VM's `controld`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// What the sender has.
    pub header: Header,
    /// What the sender wants.
    #[serde(rename = "ask")]
    pub request: Request,
}

/// The answer to a [`Message`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// What the replier has.
    pub header: Header,
    /// What the sender wanted.
    pub body: Body,
}

/// What a node has and what it passes on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The sender's statement about itself.
    pub own: Record,
    /// The configuration version and the plan that the sender has installed.
    pub stamp: Stamp,
    /// Membership changes that are still being spread.
    pub records: Vec<Record>,
    /// Upstreams that are leaving.
    #[serde(rename = "notices")]
    pub leaving_notices: Vec<LeavingNotice>,
    /// A sample of the sender's roster, so that records which got lost are noticed.
    #[serde(rename = "sample")]
    pub roster_digest: RosterDigest,
}

/// The digest of a part of a roster; a receiver whose part differs replies with its records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterDigest {
    /// The part's number.
    pub part: u16,
    /// How many parts the roster is divided into; zero for no sample.
    pub parts: u16,
    /// The digest of the names, beats and states in the part.
    pub digest: u64,
}

/// The versions of what a node has installed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The configuration's version; zero for none.
    pub version: u64,
    /// The plan's epoch; zero for none.
    pub epoch: u64,
    /// The plan's sequence within its epoch.
    pub sequence: u64,
}

/// One VM as the fleet sees it.
///
/// Of two records of a VM the one with the greater (beat, state) holds. Only the VM itself raises
/// its beat, so a VM that is suspected wrongly clears itself with a higher one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The VM, with its state.
    pub vm: Vm,
    /// Starts at the time at which the VM's `controld` started, and rises with each change that
    /// the VM states about itself.
    pub beat: u64,
}

/// An upstream that some source reports as leaving.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// The upstream.
    pub upstream: Arc<str>,
    /// How long ago a source last said so, as a span, since the clocks of two VMs differ.
    pub age: Millis,
}

/// What a message wants.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// A sign of life.
    Heartbeat,
    /// That the receiver fetch what is new at the sender and pass it on.
    Push {
        /// The VM from which the news set out.
        origin: Arc<str>,
    },
    /// That the receiver send a heartbeat to a peer that the sender can't reach.
    Probe {
        /// The peer's address.
        peer: SocketAddr,
    },
    /// The configuration in force.
    Current,
    /// The declaration with this digest.
    Declaration {
        /// The digest.
        digest: Arc<str>,
    },
    /// The plan in force.
    Plan,
    /// The records of all VMs.
    Roster,
    /// That the planner take note of a node's load.
    Load(Load),
}

/// What a node tells the planner.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The epoch of the plan that the node's `entryd` enforces.
    pub epoch: u64,
    /// The sequence of the plan that the node's `entryd` enforces.
    pub sequence: u64,
    /// The number of that plan's shift.
    pub shift: u64,
    /// How much of that shift the `entryd` has done, in units of [`steering::SHARE_SCALE`].
    pub settled: u32,
    /// Requests a second that the node was asked for, admitted or not, by destination region.
    pub demand: Vec<Demand>,
    /// Requests a second that a shift is still to move.
    pub moving: u32,
}

/// The machines that a node knows of, for a peer that starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// The entry VMs.
    pub records: Vec<Record>,
    /// The upstreams, which a peer that can't reach the platform has from nowhere else.
    pub upstreams: Vec<Upstream>,
}

/// What a reply brings.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The message was taken in.
    #[serde(rename = "Heard")]
    Acknowledged,
    /// The peer that was to be probed doesn't answer.
    Unreachable,
    /// The receiver doesn't have what was asked for, or doesn't do it now.
    Refused(Kind),
    /// The configuration in force.
    Current(Current),
    /// A declaration's encoded body.
    Declaration(Blob),
    /// The plan in force.
    Plan(Plan),
    /// The records of all VMs.
    Roster(Roster),
}

/// The row of the table that says which configuration is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// Rises by one with each act of an operator.
    pub version: u64,
    /// The digest of the declaration's body in the object store.
    pub digest: Arc<str>,
    /// The name of the preset in force.
    pub preset: Arc<str>,
    /// The drains that are planned.
    pub drains: Vec<Drain>,
    /// The latest operations, the last one being the one that made this version.
    pub operations: Vec<Operation>,
}

/// An operation that took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The id that the operator gave it.
    pub id: Arc<str>,
    /// The version it made.
    pub version: u64,
}
