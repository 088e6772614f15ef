use crate::{Admission, logging, names};
use std::fmt;
use std::net::Ipv4Addr;

const TARGET: &str = "decision";
const BLOCK_HOST_BITS: u32 = 8;

/// A kind of decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Which entry VMs a caller uses.
    Lookup,
    /// Which upstream gets a request.
    Route,
    /// A request is sent again, to another upstream.
    Retry,
    /// A request is sent to a second upstream while the first is still processing it.
    Hedge,
    /// A request is refused.
    Refuse,
    /// Whether an order may run, and where.
    Order,
    /// How traffic is distributed over regions and VMs.
    Place,
}

impl Action {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Action::Lookup => "lookup",
            Action::Route => "route",
            Action::Retry => "retry",
            Action::Hedge => "hedge",
            Action::Refuse => "refuse",
            Action::Order => "order",
            Action::Place => "place",
        }
    }
}

/// A routing or placement decision to be logged.
#[derive(Clone, Copy, Debug)]
pub struct Decision<'a> {
    /// The kind of decision.
    pub action: Action,
    /// The request's id; empty for a placement.
    pub request: &'a str,
    /// The number of the caller's block, if the decision concerns one.
    pub block: Option<u32>,
    /// The service; empty for a placement.
    pub service: &'a str,
    /// What was chosen: an upstream, a VM, a region or a kind of refusal.
    pub choice: &'a str,
    /// Why it was chosen.
    pub reason: &'a str,
    /// The epoch of the plan in force: the fencing token of the planner's lease.
    pub epoch: u64,
    /// The number of the plan in force within its epoch.
    pub sequence: u64,
    /// The configuration version in force.
    pub version: u64,
}

/// Counts a decision, and logs it unless the rate limit of decision lines is exceeded.
///
/// [`names::DECISIONS`] counts every decision and [`names::LOG_SUPPRESSED`] those that the limit
/// suppresses; a warning with their number precedes the next decision line.
pub fn log_decision(decision: &Decision<'_>) {
    let action = decision.action.as_str();
    metrics::counter!(names::DECISIONS, names::ACTION => action).increment(1);
    if !log::log_enabled!(target: TARGET, log::Level::Info) {
        return;
    }
    match logging::admit_line() {
        Admission::Admitted { suppressed } => write(decision, suppressed),
        Admission::Suppressed => metrics::counter!(names::LOG_SUPPRESSED).increment(1),
    }
}

fn write(decision: &Decision<'_>, suppressed: u64) {
    if suppressed > 0 {
        log::warn!(target: TARGET, count = suppressed; "decision lines were suppressed");
    }
    let block = Network(decision.block);
    log::info!(
        target: TARGET,
        request = decision.request,
        block:% = block,
        service = decision.service,
        choice = decision.choice,
        reason = decision.reason,
        epoch = decision.epoch,
        sequence = decision.sequence,
        version = decision.version;
        "{}", decision.action.as_str()
    );
}

/// Formats a block as its network, lazily.
struct Network(Option<u32>);

impl fmt::Display for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(block) => write!(f, "{}/24", Ipv4Addr::from_bits(block << BLOCK_HOST_BITS)),
            None => Ok(()),
        }
    }
}
