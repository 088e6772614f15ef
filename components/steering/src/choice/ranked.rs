use super::ejection;
use super::{Choice, Member, Pick, Pool, Reason, Task, Unavailable};
use clock::Millis;
use rand::{Rng, RngExt};
use settings::Class;
use std::sync::Arc;

/// An own slot is passed over if the response is expected to take this many times longer than
/// elsewhere.
const BORROW_FACTOR: f64 = 2.0;

/// The policy in force: own slots first, then the upstream that is expected to respond first.
///
/// An entry VM knows exactly what it has sent to the slots it owns, so it fills those before it
/// borrows from other entry VMs, where its requests would collide with some that it can't observe.
/// Slow upstreams are ejected. See docs/CHOICE.md.
#[derive(Debug, Default)]
pub struct Ranked;

impl Choice for Ranked {
    fn name(&self) -> &'static str {
        "ranked"
    }

    fn choose(
        &mut self,
        pool: &mut Pool,
        task: &Task,
        now: Millis,
        rng: &mut dyn Rng,
    ) -> Result<Pick, Unavailable> {
        pool.update_ejections(now);
        let eligible = pool.eligible(task)?;
        let (index, reason) = rank(pool, &eligible, task, now, rng);
        let name = Arc::clone(&pool.members()[index].name);
        Ok(Pick { index, name, reason })
    }
}

fn rank(
    pool: &Pool,
    eligible: &[usize],
    task: &Task,
    now: Millis,
    rng: &mut dyn Rng,
) -> (usize, Reason) {
    let members = pool.members();
    if let Some(index) = due_probe(members, eligible, task, now) {
        return (index, Reason::Probe);
    }
    let is_healthy =
        |index: &usize| !members[*index].is_ejected() && !members[*index].is_backed_off(now);
    let healthy: Vec<usize> = eligible.iter().copied().filter(is_healthy).collect();
    let median = pool.median_service_time();
    let own: Vec<usize> =
        healthy.iter().copied().filter(|&at| has_own_slot(&members[at], now)).collect();
    let own = fastest(members, &own, median, now, rng);
    let best = fastest(members, &healthy, median, now, rng);
    match (own, best) {
        (Some(own), Some(best)) if !is_much_slower(&members[own], &members[best], median, now) => {
            return (own, Reason::OwnSlot);
        }
        (_, Some(best)) => return (best, Reason::Borrowed),
        _ => {}
    }
    let index = fastest(members, eligible, median, now, rng).unwrap_or(eligible[0]);
    (index, Reason::LastResort)
}

fn due_probe(members: &[Member], eligible: &[usize], task: &Task, now: Millis) -> Option<usize> {
    if !task.idempotent || task.class == Class::Long || !task.tried.is_empty() {
        return None;
    }
    let is_due =
        |member: &Member| member.ejection.is_some_and(|ejection| ejection.is_probe_due(now));
    eligible.iter().copied().find(|&index| is_due(&members[index]))
}

fn has_own_slot(member: &Member, now: Millis) -> bool {
    let slots = f64::from(member.own_slots) * member.ramp(now);
    f64::from(member.in_flight()) < slots
}

/// Whether an own slot is so slow that borrowing is better, though other entry VMs may use that
/// slot too.
///
/// A queue of this entry VM's own requests isn't enough: the upstream must be slow enough to be
/// ejected, as when no more upstreams may be.
fn is_much_slower(own: &Member, best: &Member, median: f64, now: Millis) -> bool {
    ejection::is_slow(own, median, now)
        && cost(own, median, now) > BORROW_FACTOR * cost(best, median, now)
}

/// The upstream that is expected to respond first; ties are broken at random.
fn fastest(
    members: &[Member],
    indices: &[usize],
    median: f64,
    now: Millis,
    rng: &mut dyn Rng,
) -> Option<usize> {
    let mut best = None;
    let mut best_cost = f64::INFINITY;
    let mut ties = 0;
    for &index in indices {
        let cost = cost(&members[index], median, now);
        if cost < best_cost {
            best = Some(index);
            best_cost = cost;
            ties = 1;
        } else if cost == best_cost {
            ties += 1;
            if rng.random_range(0..ties) == 0 {
                best = Some(index);
            }
        }
    }
    best
}

/// The expected time to the response of the fastest of `eligible`, in milliseconds; infinite if all
/// are ejected.
pub(super) fn least_cost(members: &[Member], eligible: &[usize], median: f64, now: Millis) -> f64 {
    let usable = eligible.iter().map(|&index| &members[index]).filter(|m| !m.is_ejected());
    usable.map(|member| cost(member, median, now)).fold(f64::INFINITY, f64::min)
}

/// The expected time to a response in milliseconds, from this entry VM's own observations.
///
/// Requests of other entry VMs don't run in own slots. The requests that this entry VM sends beyond
/// its own slots are taken to stand for those of the other entry VMs too, since all of them follow
/// the same policy.
fn cost(member: &Member, median: f64, now: Millis) -> f64 {
    let service = member.service_time(now).unwrap_or(median).max(1.0);
    let borrowed = member.in_flight().saturating_sub(member.own_slots);
    let ahead = f64::from(borrowed * member.sharers) / f64::from(member.slots.max(1));
    member.round_trip.0 as f64 + service * (1.0 + ahead) / member.ramp(now)
}
