//! The choice of the upstream that serves a request.
//!
//! A [`Pool`] holds what one entry VM has observed of one service's upstreams; a [`Choice`] picks
//! from it. The baselines stay beside the policy in force, so that it is always measured against
//! them. See docs/CHOICE.md.

mod baseline;
mod ejection;
mod member;
mod pool;
mod ranked;
mod slots;
mod subset;

pub use baseline::{LeastReported, Random, RoundRobin, TwoChoices};
pub use member::{Member, Outcome, Report, Ticket};
pub use pool::Pool;
pub use ranked::Ranked;
pub use subset::{Candidate, Entry, Subset};

use clock::Millis;
use errors::Kind;
use rand::Rng;
use settings::Class;
use std::sync::Arc;

/// What a choice needs to know of a request.
#[derive(Clone, Debug)]
pub struct Task {
    /// Whether the request is expected to be long.
    pub class: Class,
    /// Whether a second copy may run; only such a request may probe an upstream set aside.
    pub idempotent: bool,
    /// Upstreams tried before, as indices of the pool.
    pub tried: Vec<usize>,
}

/// The chosen upstream and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The upstream's index in the pool, which stays its own while it has requests in flight.
    pub index: usize,
    /// The upstream's name.
    pub name: Arc<str>,
    /// Why it was chosen, for the log.
    pub reason: Reason,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A baseline's choice.
    Baseline,
    /// This entry VM's own part of the upstream's slots has room.
    OwnSlot,
    /// The own slots are in use; this upstream is expected to answer first.
    Borrowed,
    /// The upstream was set aside and is tried again; the request should be hedged at once.
    Probe,
    /// Every other upstream is slow, suspect, refusing or was tried before.
    LastResort,
}

impl Reason {
    /// The reason as it stands in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::Baseline => "baseline",
            Reason::OwnSlot => "own_slot",
            Reason::Borrowed => "borrowed",
            Reason::Probe => "probe",
            Reason::LastResort => "last_resort",
        }
    }
}

/// Why no upstream was chosen; in each case nothing was sent.
///
/// Of several reasons the greatest is given: the one that passes soonest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unavailable {
    /// No upstream takes new work.
    Empty,
    /// Every upstream that takes new work has been tried.
    Exhausted,
    /// This VM holds no slots for long requests here, so none becomes free by waiting.
    Unowned,
    /// Every upstream is at the limit of connections from this VM.
    Connections,
    /// Long requests hold all the slots that they may; one may be free after a wait.
    LongSlots,
}

impl Unavailable {
    /// The kind of error that a caller is answered with.
    pub fn kind(self) -> Kind {
        match self {
            Unavailable::Empty | Unavailable::Exhausted => Kind::NoUpstream,
            Unavailable::Unowned | Unavailable::Connections | Unavailable::LongSlots => {
                Kind::Overloaded
            }
        }
    }
}

/// A policy that chooses among the upstreams of a pool.
pub trait Choice: Send {
    /// The policy's name in tables and logs.
    fn name(&self) -> &'static str;

    /// Chooses an upstream for `task`; the caller then calls [`Pool::start`].
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if no upstream may be sent the request now.
    fn choose(
        &mut self,
        pool: &mut Pool,
        task: &Task,
        now: Millis,
        rng: &mut dyn Rng,
    ) -> Result<Pick, Unavailable>;
}
