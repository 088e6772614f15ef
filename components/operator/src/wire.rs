//! The messages of the operators' interface, as JSON.

use clock::Millis;
use errors::{Error, Kind};
use serde::{Deserialize, Serialize};
use settings::{Declaration, Drain, Source};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::State;

/// Puts a declaration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Apply {
    /// The version that the operator has read; zero when none was ever applied.
    pub expected: u64,
    /// The operation's id, for retries and for querying the outcome.
    pub operation: Arc<str>,
    /// The text of the declaration's files; the control process checks it again.
    pub source: Source,
}

/// Puts another preset in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsePreset {
    /// The version that the operator has read.
    pub expected: u64,
    /// The operation's id.
    pub operation: Arc<str>,
    /// The name of the preset to put in force.
    pub preset: Arc<str>,
}

/// Plans a drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanDrain {
    /// The version that the operator has read.
    pub expected: u64,
    /// The operation's id.
    pub operation: Arc<str>,
    /// The drain to plan.
    pub drain: Drain,
}

/// Cancels a planned drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelDrain {
    /// The version that the operator has read.
    pub expected: u64,
    /// The operation's id.
    pub operation: Arc<str>,
    /// The drain's name.
    pub drain: Arc<str>,
}

/// A change that is committed and will be installed on all entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version that the change made.
    pub version: u64,
    /// The id of the change's operation.
    pub operation: Arc<str>,
    /// How far the version was installed when this response was written.
    pub domains: Vec<Domain>,
}

/// How many entry VMs of a failure domain have installed the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// The failure domain's name.
    pub name: Arc<str>,
    /// Entry VMs known to have installed the version.
    pub installed: u32,
    /// Entry VMs that the platform lists.
    pub vms: u32,
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// The version.
    pub version: u64,
    /// The operation that made the version.
    pub operation: Arc<str>,
    /// The preset in force.
    pub preset: Arc<str>,
    /// The declaration, with the drains that are currently planned.
    pub declaration: Declaration,
}

/// The state of the fleet as one control process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that responds.
    pub vm: Arc<str>,
    /// The version in force at this VM; zero when it has none.
    pub version: u64,
    /// The preset in force.
    pub preset: Arc<str>,
    /// The planned drains.
    pub drains: Vec<Drain>,
    /// The plan at this VM.
    pub plan: Plan,
    /// Whether the last request to the platform succeeded.
    pub platform: bool,
    /// How far the version is installed, by failure domain.
    pub domains: Vec<Domain>,
    /// The entry VMs, sorted by name.
    pub vms: Vec<Vm>,
}

/// The plan that a VM follows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The planner's epoch.
    pub epoch: u64,
    /// The plan's number within the epoch.
    pub sequence: u64,
    /// Progress of the current shift, in percent; 100 when there is none.
    pub progress: u32,
}

/// An entry VM as a control process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it is live, suspected or leaving.
    pub state: State,
    /// The version it has installed; zero when unknown.
    pub version: u64,
}

/// A query for the reasons of the look-up response that callers of a block get.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explain {
    /// The block, as an IPv4 address or /24 network.
    pub block: Arc<str>,
    /// The service.
    pub service: Arc<str>,
}

/// The look-up response that callers of a block get, with its reasons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The block's network.
    pub block: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The site that holds the block.
    pub site: Arc<str>,
    /// The region that the block is steered to.
    pub region: Arc<str>,
    /// Why the block is steered to that region.
    pub reason: Arc<str>,
    /// The first lease that such a caller gets.
    pub lease: Millis,
    /// The configuration version that the response follows from.
    pub version: u64,
    /// The plan that the response follows from.
    pub plan: Plan,
    /// The entry VMs in the order in which a caller tries them.
    pub entries: Vec<Entry>,
}

/// One entry VM of a look-up response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The VM's name.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The address at which callers reach it.
    pub address: SocketAddr,
    /// Why it has this place in the order.
    pub reason: Arc<str>,
}

/// How an operation ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "state")]
pub enum Outcome {
    /// It was committed.
    Committed {
        /// The version that it made.
        version: u64,
    },
    /// It wasn't committed, and never will be.
    NotRun,
    /// The outcome can't be determined now; query it again later.
    Unknown,
}

/// The version that is in force instead of a refused change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Winner {
    /// The version in force.
    pub version: u64,
    /// The operation that made it.
    pub operation: Arc<str>,
}

/// Why a change or a query was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind, which determines the HTTP status and the exit code, and says whether the change
    /// ran.
    pub kind: Kind,
    /// The error message.
    pub context: String,
    /// The version in force, when the kind is `conflict`.
    pub winner: Option<Winner>,
    /// The operation whose outcome can be queried, when the kind is `outcome_unknown`.
    pub operation: Option<Arc<str>>,
}

impl Refusal {
    /// A refusal of `kind` with the error message `context`.
    pub fn new<C>(kind: Kind, context: C) -> Refusal
    where
        C: Into<String>,
    {
        Refusal { kind, context: context.into(), winner: None, operation: None }
    }

    /// A refusal because the version of `winner` is in force.
    pub fn conflict(winner: Winner) -> Refusal {
        let context =
            format!("version {} by operation {} is in force", winner.version, winner.operation);
        Refusal { winner: Some(winner), ..Refusal::new(Kind::Conflict, context) }
    }

    /// A refusal because the outcome of `operation` is unknown.
    pub fn unknown<C>(operation: Arc<str>, context: C) -> Refusal
    where
        C: Into<String>,
    {
        Refusal { operation: Some(operation), ..Refusal::new(Kind::OutcomeUnknown, context) }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Refusal {
        Refusal::new(error.kind, error.context)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.kind, self.context)
    }
}

impl std::error::Error for Refusal {}
