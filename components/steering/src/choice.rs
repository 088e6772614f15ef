//! The choice of the upstream that serves a request.
//!
//! A [`Pool`] holds what one entry VM has observed of one service's upstreams; a [`Choice`] picks
//! from it. The baseline policies are kept so that the policy in force is always measured against
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

/// The properties of a request that a choice depends on.
#[derive(Clone, Debug)]
pub struct Task {
    /// Whether the request is expected to be long.
    pub class: Class,
    /// Whether a second copy may run; only such a request may probe an ejected upstream.
    pub idempotent: bool,
    /// Indices of the upstreams that earlier attempts were sent to.
    pub tried: Vec<usize>,
}

/// The chosen upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// The upstream's index in the pool, which is not reused while requests to it are in flight.
    pub index: usize,
    /// The upstream's name.
    pub name: Arc<str>,
    /// Why it was chosen.
    pub reason: Reason,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A baseline policy chose it.
    Baseline,
    /// This entry VM's own part of the upstream's slots has room.
    OwnSlot,
    /// The own slots are in use or much slower; this upstream is expected to respond first.
    Borrowed,
    /// The upstream is ejected and a probe is due; the request should be hedged at once.
    Probe,
    /// Every other upstream is ejected, suspected, backed off or was tried before.
    LastResort,
}

impl Reason {
    /// The reason as logged.
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
/// The greatest of several reasons is returned: the one that passes soonest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Unavailable {
    /// No upstream takes new requests.
    Empty,
    /// Every upstream that takes new requests was tried before.
    Exhausted,
    /// This entry VM owns no slots for long requests here, so waiting does not help.
    Unowned,
    /// Connections from this entry VM have reached the limit of every upstream.
    Connections,
    /// Long requests hold all slots that they may use; one may become free.
    LongSlots,
}

impl Unavailable {
    /// The kind of error for the caller.
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
    /// The name of the policy in tables and logs.
    fn name(&self) -> &'static str;

    /// Chooses an upstream for `task`. The caller then calls [`Pool::start`].
    ///
    /// # Errors
    ///
    /// [`Unavailable`] if the request may not be sent to any upstream now.
    fn choose(
        &mut self,
        pool: &mut Pool,
        task: &Task,
        now: Millis,
        rng: &mut dyn Rng,
    ) -> Result<Pick, Unavailable>;
}
