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
    /// The version the operator has seen; zero when none was ever applied.
    pub expected: u64,
    /// Identifies the act, so that it can be asked for again.
    pub operation: Arc<str>,
    /// The text of the declaration's files; the receiver checks it again.
    pub source: Source,
}

/// Puts another preset in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsePreset {
    /// The version the operator has seen.
    pub expected: u64,
    /// Identifies the act.
    pub operation: Arc<str>,
    /// The preset to put in force.
    pub preset: Arc<str>,
}

/// Plans a drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanDrain {
    /// The version the operator has seen.
    pub expected: u64,
    /// Identifies the act.
    pub operation: Arc<str>,
    /// The drain.
    pub drain: Drain,
}

/// Cancels a planned drain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CancelDrain {
    /// The version the operator has seen.
    pub expected: u64,
    /// Identifies the act.
    pub operation: Arc<str>,
    /// The drain's name.
    pub drain: Arc<str>,
}

/// An act that is committed and will be in force everywhere.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version that the act made.
    pub version: u64,
    /// The act's id.
    pub operation: Arc<str>,
    /// How far it has spread when this answer was written.
    pub domains: Vec<Domain>,
}

/// How many entry VMs of a failure domain have installed the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Domain {
    /// The failure domain.
    pub name: Arc<str>,
    /// Entry VMs known to have installed the version.
    pub installed: u32,
    /// Entry VMs that the platform lists.
    pub vms: u32,
}

/// What is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Current {
    /// The version.
    pub version: u64,
    /// The operation that made the version.
    pub operation: Arc<str>,
    /// The preset in force.
    pub preset: Arc<str>,
    /// The declaration, with the drains that are planned now.
    pub declaration: Declaration,
}

/// The state of the fleet as one control process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The VM that answers.
    pub vm: Arc<str>,
    /// The version in force at this VM; zero when it has none.
    pub version: u64,
    /// The preset in force.
    pub preset: Arc<str>,
    /// The drains that are planned.
    pub drains: Vec<Drain>,
    /// The plan at this VM.
    pub plan: Plan,
    /// Whether the platform answered last time.
    pub platform: bool,
    /// How far the version has spread.
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
    /// How far the shift under way has come, in percent; 100 when there is none.
    pub progress: u32,
}

/// An entry VM as a control process sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it takes new work.
    pub state: State,
    /// The version it has installed; zero when unknown.
    pub version: u64,
}

/// Asks why callers of a block get their look-up answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explain {
    /// The block, as an IPv4 address or /24 network.
    pub block: Arc<str>,
    /// The service.
    pub service: Arc<str>,
}

/// Why callers of a block get their look-up answer.
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
    /// Why it is that region.
    pub reason: Arc<str>,
    /// The first lease such a caller gets.
    pub lease: Millis,
    /// The configuration version the answer was worked out from.
    pub version: u64,
    /// The plan the answer was worked out from.
    pub plan: Plan,
    /// The entry VMs in the order in which a caller tries them.
    pub entries: Vec<Entry>,
}

/// One entry VM of a look-up answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The VM.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where callers reach it.
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
    /// It can't be told now; ask again.
    Unknown,
}

/// The version that won a race between operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Winner {
    /// The version in force.
    pub version: u64,
    /// The operation that made it.
    pub operation: Arc<str>,
}

/// Why an act or a query was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind, which decides status, exit code and whether the act ran.
    pub kind: Kind,
    /// What went wrong, in words.
    pub context: String,
    /// Who won, when the kind is `conflict`.
    pub winner: Option<Winner>,
    /// The operation to ask for, when the outcome is unknown.
    pub operation: Option<Arc<str>>,
}

impl Refusal {
    /// A refusal of `kind`, with its context in words.
    pub fn new<C>(kind: Kind, context: C) -> Refusal
    where
        C: Into<String>,
    {
        Refusal { kind, context: context.into(), winner: None, operation: None }
    }

    /// A refusal because `winner` is in force.
    pub fn conflict(winner: Winner) -> Refusal {
        let context =
            format!("version {} by operation {} is in force", winner.version, winner.operation);
        Refusal { winner: Some(winner), ..Refusal::new(Kind::Conflict, context) }
    }

    /// A refusal because the outcome of `operation` isn't known.
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
