//! When a refused request may return and find room.
//!
//! The upstream that it would queue at if queues were unbounded works off its queue up to the part that
//! the request may join; a less urgent request may join less of it, and so returns later. See
//! docs/design/urgency.md.

use crate::affinity::{self, Candidate, Demand, Policy};
use clock::Millis;

/// The time until one of `candidates` has room for the refused request; `None` if it may use none of
/// them.
pub fn until_room(
    candidates: &[Candidate<'_>],
    demand: &Demand,
    policy: &Policy,
) -> Option<Millis> {
    let unbounded = Policy { queue: f64::INFINITY, ..*policy };
    let patient = Demand { remaining: Millis(u64::MAX), ..*demand };
    let choice = affinity::choose(candidates, &patient, &unbounded).ok()?;
    let candidate = &candidates[choice.index];
    let service_time = match candidate.assigned {
        true => demand.service_time.assigned,
        false => demand.service_time.elsewhere,
    };
    let slots = f64::from(candidate.slots.max(1));
    let excess = (candidate.load + 1.0 - slots * (1.0 + policy.queue)).max(0.0);
    let work = service_time.0 as f64 * candidate.slowdown.max(0.1);
    Some(Millis((excess / slots * work).ceil() as u64).max(choice.expected - demand.remaining))
}
