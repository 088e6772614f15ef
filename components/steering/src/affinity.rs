//! Selects the upstream for a request by the object that it concerns and the load of the upstreams.
//!
//! Rendezvous hashing ranks the upstreams of every region for each object, so that all entry VMs
//! agree without exchanging messages and an upstream that joins or leaves moves few objects. An
//! object's first-ranked upstreams are its preferred ones: they handled it recently and are fast.
//! See docs/PLACEMENT.md for the alternatives that were compared.

use clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The first of several preferred upstreams is used until it is busier than another one by this part
/// of its slots. Below that, the difference may be chance, and a VM knows loads with delay only.
const LOAD_BOUND: f64 = 0.34;

/// An upstream that may be sent the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The upstream's id.
    pub id: &'a str,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Requests running and queued there, as far as known.
    pub load: f64,
    /// Current service time as a multiple of the typical one; 1 if it is typical.
    pub slowdown: f64,
    /// Additional time that a response from its region takes.
    pub network_latency: Millis,
    /// Whether it is in the region that the object is assigned to.
    pub assigned: bool,
    /// Whether it is in the sender's failure domain.
    pub near: bool,
    /// Whether it should get no request that another upstream can take.
    pub ejected: bool,
}

/// How requests are placed.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Preferred upstreams of an object in its assigned region.
    pub preferred: usize,
    /// Preferred upstreams of an object in the other regions.
    pub preferred_elsewhere: usize,
    /// Longest queue at a preferred upstream, as a multiple of its slots.
    pub queue: f64,
    /// Whether upstreams in the sender's failure domain go before others that are no better.
    pub nearest_first: bool,
    /// Whether any other upstream with a free slot may take a request.
    pub spills: bool,
}

/// A request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Hash of the affinity key.
    pub object: u64,
    /// Index of the candidate that the object prefers instead of the first of its ranking.
    pub moved: Option<usize>,
    /// Typical service times of such requests.
    pub service_time: ServiceTime,
    /// Time until the response misses the latency objective.
    pub objective: Millis,
    /// Time until the request's deadline.
    pub remaining: Millis,
}

/// Typical time that a response takes, without queueing.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTime {
    /// At upstreams in the object's assigned region, whose caches are usually warm.
    pub assigned: Millis,
    /// At other upstreams, without network latency.
    pub elsewhere: Millis,
}

/// The selected upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index into the candidates.
    pub index: usize,
    /// Time from now until the response is expected.
    pub expected: Millis,
    /// Why it was selected.
    pub reason: Reason,
}

/// Why an upstream was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// A preferred upstream in the assigned region with a free slot.
    Preferred,
    /// A preferred upstream in the assigned region, where the request queues.
    Queue,
    /// A preferred upstream in another region.
    OtherRegion,
    /// An upstream with a free slot, because no preferred one has room.
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

/// No upstream has room for the request or can respond in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full {
    /// Estimated time until an upstream has room.
    pub retry_after: Millis,
}

/// Selects one of `candidates`. A request leaves the queue of its assigned region only when it
/// would miss the objective there: elsewhere the object is cold, and requests that leave their
/// region for a while move twice, out and back.
///
/// # Errors
///
/// [`Full`] if no upstream has room and can respond before the deadline.
pub fn choose(
    candidates: &[Candidate<'_>],
    demand: &Demand,
    policy: &Policy,
) -> Result<Choice, Full> {
    let local = preferred(candidates, demand, policy);
    if let Some(index) = free(candidates, &local) {
        return Ok(choice(candidates, index, demand, Reason::Preferred));
    }
    let remote = rank(candidates, demand.object, false, policy.preferred_elsewhere);
    let fits = |index: &usize| has_room(&candidates[*index], policy.queue);
    let queueing = local.iter().copied().filter(fits).map(|index| (index, Reason::Queue));
    let elsewhere = remote.iter().copied().filter(fits).map(|index| (index, Reason::OtherRegion));
    let best = queueing
        .chain(elsewhere)
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

/// The preferred upstreams of a request in its assigned region, the most preferred first. Without an
/// object, those in the sender's failure domain come first, so that few bytes cross domains.
fn preferred(candidates: &[Candidate<'_>], demand: &Demand, policy: &Policy) -> Vec<usize> {
    if let Some(moved) = demand.moved.filter(|index| !candidates[*index].ejected) {
        return vec![moved];
    }
    let mut order = rank(candidates, demand.object, true, policy.preferred);
    if policy.nearest_first {
        order.sort_by_key(|index| (candidates[*index].ejected, !candidates[*index].near));
    }
    order
}

/// The first of the preferred upstreams that has a free slot and isn't clearly busier than the one
/// with the least load. Ejected ones are used only if no other has a free slot.
fn free(candidates: &[Candidate<'_>], preferred: &[usize]) -> Option<usize> {
    let mut free = preferred.iter().copied().filter(|index| has_free_slot(&candidates[*index]));
    let first = free.clone().next()?;
    let ejected = candidates[first].ejected;
    let is_equal = |index: &usize| candidates[*index].ejected == ejected;
    let least = free.clone().filter(is_equal).map(|index| usage(&candidates[index]));
    let bound = least.fold(f64::INFINITY, f64::min) + LOAD_BOUND;
    free.find(|index| is_equal(index) && usage(&candidates[*index]) <= bound)
}

/// The first `count` of an object's ranking of the upstreams inside or outside its assigned region,
/// in which ejected ones come last. There may be very many upstreams, so that only the first ones are
/// sorted.
fn rank(candidates: &[Candidate<'_>], object: u64, assigned: bool, count: usize) -> Vec<usize> {
    let indices = (0..candidates.len()).filter(|index| candidates[*index].assigned == assigned);
    let key = |index: usize| {
        let candidate = &candidates[index];
        (candidate.ejected, !xxh3_64_with_seed(candidate.id.as_bytes(), object), index)
    };
    if count == 1 {
        return indices.map(key).min().into_iter().map(|(_, _, index)| index).collect();
    }
    let mut order: Vec<(bool, u64, usize)> = indices.map(key).collect();
    if count < order.len() {
        order.select_nth_unstable(count);
        order.truncate(count);
    }
    order.sort_unstable();
    order.into_iter().map(|(_, _, index)| index).collect()
}

/// The nearest upstream with a free slot; ties are broken by a hash of the object.
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

/// The expected response time: queueing in rounds of the slots, service and network latency.
fn expected(candidate: &Candidate<'_>, service_time: ServiceTime) -> Millis {
    let slots = f64::from(candidate.slots.max(1));
    let rounds = ((candidate.load + 1.0 - slots).max(0.0)) / slots;
    let service_time =
        if candidate.assigned { service_time.assigned } else { service_time.elsewhere };
    let work = service_time.0 as f64 * candidate.slowdown.max(0.1);
    Millis((work * (1.0 + rounds)) as u64) + candidate.network_latency
}

/// The load as a multiple of the slots.
fn usage(candidate: &Candidate<'_>) -> f64 {
    candidate.load / f64::from(candidate.slots.max(1))
}

fn has_free_slot(candidate: &Candidate<'_>) -> bool {
    candidate.load + 1.0 <= f64::from(candidate.slots)
}

fn has_room(candidate: &Candidate<'_>, queue: f64) -> bool {
    let slots = f64::from(candidate.slots);
    candidate.load + 1.0 <= slots + slots * queue
}

/// The error when no upstream can take the request, with the time until the soonest could.
fn full(candidates: &[Candidate<'_>], service_time: ServiceTime) -> Full {
    let soonest = candidates.iter().map(|candidate| expected(candidate, service_time)).min();
    Full { retry_after: soonest.unwrap_or(service_time.assigned) - service_time.assigned }
}
