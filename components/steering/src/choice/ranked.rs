use super::ejection;
use super::{Choice, Member, Pick, Pool, Reason, Task, Unavailable};
use clock::Millis;
use rand::{Rng, RngExt};
use settings::Class;
use std::sync::Arc;

/// An own slot is passed over if it is expected to take this many times longer than another.
const BORROW_FACTOR: f64 = 2.0;

/// The policy in force: own slots first, then the upstream that should answer first.
///
/// An entry VM knows exactly what it has sent to the slots it owns, so it fills those before it
/// borrows from others, where it would collide with requests that it can't see. Stragglers are
/// set aside by comparison with their peers. See docs/CHOICE.md.
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
        pool.compare(now);
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
    let sound =
        |index: &usize| !members[*index].is_ejected() && !members[*index].is_backed_off(now);
    let good: Vec<usize> = eligible.iter().copied().filter(sound).collect();
    let usual = pool.median_service_time();
    let own: Vec<usize> =
        good.iter().copied().filter(|&at| has_own_slot(&members[at], now)).collect();
    let own = least(members, &own, usual, now, rng);
    let best = least(members, &good, usual, now, rng);
    match (own, best) {
        (Some(own), Some(best)) if !is_worse(&members[own], &members[best], usual, now) => {
            return (own, Reason::OwnSlot);
        }
        (_, Some(best)) => return (best, Reason::Borrowed),
        _ => {}
    }
    let index = least(members, eligible, usual, now, rng).unwrap_or(eligible[0]);
    (index, Reason::LastResort)
}

fn due_probe(members: &[Member], eligible: &[usize], task: &Task, now: Millis) -> Option<usize> {
    if !task.idempotent || task.class == Class::Long || !task.tried.is_empty() {
        return None;
    }
    let is_due = |member: &Member| member.aside.is_some_and(|aside| aside.is_due(now));
    eligible.iter().copied().find(|&index| is_due(&members[index]))
}

fn has_own_slot(member: &Member, now: Millis) -> bool {
    let slots = f64::from(member.own_slots) * member.ramp(now);
    f64::from(member.in_flight()) < slots
}

/// Whether an own slot is so slow that borrowing is better, though others may use that one too.
///
/// A queue of this entry VM's own requests isn't enough; the upstream must be slow by the measure
/// that sets stragglers aside, as when no more of them may be.
fn is_worse(own: &Member, best: &Member, usual: f64, now: Millis) -> bool {
    ejection::is_slow(own, usual, now)
        && cost(own, usual, now) > BORROW_FACTOR * cost(best, usual, now)
}

/// The upstream that should answer first; ties are broken at random.
fn least(
    members: &[Member],
    indices: &[usize],
    usual: f64,
    now: Millis,
    rng: &mut dyn Rng,
) -> Option<usize> {
    let mut best = None;
    let mut best_cost = f64::INFINITY;
    let mut ties = 0;
    for &index in indices {
        let cost = cost(&members[index], usual, now);
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

/// The expected time to an answer from the best of `eligible`, in milliseconds.
pub(super) fn least_cost(members: &[Member], eligible: &[usize], usual: f64, now: Millis) -> f64 {
    let usable = eligible.iter().map(|&index| &members[index]).filter(|m| !m.is_ejected());
    usable.map(|member| cost(member, usual, now)).fold(f64::INFINITY, f64::min)
}

/// The expected time to an answer in milliseconds, from this entry VM's own observations.
///
/// Own slots are free of others' requests; what this entry VM sends beyond them stands for what
/// the others send too, since all of them follow the same rule.
fn cost(member: &Member, usual: f64, now: Millis) -> f64 {
    let service = member.service_time(now).unwrap_or(usual).max(1.0);
    let borrowed = member.in_flight().saturating_sub(member.own_slots);
    let ahead = f64::from(borrowed * member.sharers) / f64::from(member.slots.max(1));
    member.round_trip.0 as f64 + service * (1.0 + ahead) / member.ramp(now)
}
