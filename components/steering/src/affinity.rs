//! Which upstream gets a request, by the object it concerns and the load of the upstreams.
//!
//! Each object has an order of upstreams of its own in every region, by rendezvous hashing, so
//! that all VMs agree without talk and an upstream that joins or leaves moves few objects. The
//! first ones are the object's homes: work there is fast, since they handled it recently. See
//! docs/PLACEMENT.md for the ways that were weighed.

use clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What is known of one upstream that may take a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream's id.
    pub id: &'a str,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests running and waiting there, as far as known.
    pub load: f64,
    /// How much longer than usual work takes there now; 1 is usual.
    pub slowdown: f64,
    /// The extra time that an answer from its region takes.
    pub network_latency: Millis,
    /// Whether it is in the region that the object is apportioned to.
    pub assigned: bool,
    /// Whether it should get nothing that others can take.
    pub ejected: bool,
}

/// How requests are placed.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Homes of an object in its region.
    pub preferred: usize,
    /// Homes of an object in other regions.
    pub preferred_elsewhere: usize,
    /// The most requests that may wait at a home, as a multiple of its slots.
    pub queue: f64,
    /// Whether an upstream that is no home takes a request when it has a free slot.
    pub spills: bool,
}

/// What has to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The hash of the object.
    pub object: u64,
    /// How long an answer usually takes.
    pub service_time: ServiceTime,
    /// The time within which an answer is worth most.
    pub objective: Millis,
    /// The time within which an answer must be there.
    pub remaining: Millis,
}

/// How long an answer usually takes without a wait.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// From upstreams in the object's region, which are warm as a rule.
    pub assigned: Millis,
    /// From other upstreams, less the way.
    pub elsewhere: Millis,
}

/// Where a request goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The position among the candidates.
    pub index: usize,
    /// When an answer is expected, from now.
    pub expected: Millis,
    /// Why.
    pub reason: Reason,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A home with a free slot.
    Preferred,
    /// A home with a queue.
    Queue,
    /// A home in another region.
    OtherRegion,
    /// No home has room, another upstream has a free slot.
    Spill,
}

impl Reason {
    /// The name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Preferred => "home",
            Reason::Queue => "queue",
            Reason::OtherRegion => "far",
            Reason::Spill => "spill",
        }
    }
}

/// No upstream has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// When there is room again, as far as known.
    pub retry_after: Millis,
}

/// Chooses among `candidates`. A home with a queue is left only when it would miss the objective:
/// elsewhere the object is cold, and every request that leaves its region for a while moves twice.
///
/// # Errors
///
/// [`Full`] when no upstream could answer in time.
pub fn choose(
    candidates: &[Candidate<'_>],
    demand: &Demand,
    policy: &Policy,
) -> Result<Choice, Full> {
    let mut near = ranked(candidates, demand.object, true);
    let mut far = ranked(candidates, demand.object, false);
    near.truncate(policy.preferred);
    far.truncate(policy.preferred_elsewhere);
    let free = |index: &usize| has_free_slot(&candidates[*index]);
    if let Some(index) = near.iter().copied().find(free) {
        return Ok(choice(candidates, index, demand, Reason::Preferred));
    }
    let room = |index: &usize| has_room(&candidates[*index], policy.queue);
    let homes = near.iter().copied().filter(room).map(|index| (index, Reason::Queue));
    let away = far.iter().copied().filter(room).map(|index| (index, Reason::OtherRegion));
    let best = homes
        .chain(away)
        .map(|(index, reason)| choice(candidates, index, demand, reason))
        .filter(|choice| choice.expected <= demand.remaining)
        .min_by_key(|choice| {
            let in_time = choice.reason == Reason::Queue && choice.expected <= demand.objective;
            (!in_time, choice.expected)
        });
    if let Some(best) = best {
        return Ok(best);
    }
    let spilled = policy.spills.then(|| spill(candidates, demand)).flatten();
    spilled.ok_or_else(|| full(candidates, demand.service_time))
}

/// The order of an object's upstreams in its region or outside it, shunned ones last.
fn ranked(candidates: &[Candidate<'_>], object: u64, assigned: bool) -> Vec<usize> {
    let indices = (0..candidates.len()).filter(|index| candidates[*index].assigned == assigned);
    let mut ranked: Vec<(bool, u64, usize)> = indices
        .map(|index| {
            let candidate = &candidates[index];
            (candidate.ejected, !xxh3_64_with_seed(candidate.id.as_bytes(), object), index)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, index)| index).collect()
}

/// Any upstream with a free slot; the nearest first, the object's own order decides among equals.
fn spill(candidates: &[Candidate<'_>], demand: &Demand) -> Option<Choice> {
    let free = (0..candidates.len()).filter(|index| {
        let candidate = &candidates[*index];
        has_free_slot(candidate) && !candidate.ejected
    });
    free.map(|index| choice(candidates, index, demand, Reason::Spill))
        .filter(|choice| choice.expected <= demand.remaining)
        .min_by_key(|choice| {
            let candidate = &candidates[choice.index];
            (candidate.network_latency, xxh3_64_with_seed(candidate.id.as_bytes(), !demand.object))
        })
}

fn choice(candidates: &[Candidate<'_>], index: usize, demand: &Demand, reason: Reason) -> Choice {
    let expected = expected(&candidates[index], demand.service_time);
    Choice { index, expected, reason }
}

fn expected(candidate: &Candidate<'_>, service_time: ServiceTime) -> Millis {
    let slots = f64::from(candidate.slots.max(1));
    let rounds = ((candidate.load + 1.0 - slots).max(0.0)) / slots;
    let service_time =
        if candidate.assigned { service_time.assigned } else { service_time.elsewhere };
    let work = service_time.0 as f64 * candidate.slowdown.max(0.1);
    Millis((work * (1.0 + rounds)) as u64) + candidate.network_latency
}

fn has_free_slot(candidate: &Candidate<'_>) -> bool {
    candidate.load + 1.0 <= f64::from(candidate.slots)
}

fn has_room(candidate: &Candidate<'_>, queue: f64) -> bool {
    let slots = f64::from(candidate.slots);
    candidate.load + 1.0 <= slots + slots * queue
}

fn full(candidates: &[Candidate<'_>], service_time: ServiceTime) -> Full {
    let soonest = candidates.iter().map(|candidate| expected(candidate, service_time)).min();
    Full { retry_after: soonest.unwrap_or(service_time.assigned) - service_time.assigned }
}
