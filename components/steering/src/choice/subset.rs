use super::slots;
use crate::{Snapshot, delay, region_of};
use clock::Millis;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A connection is kept for each request in flight; what is left of an upstream's limit covers
/// entry VMs that this one doesn't know of yet.
const CONNECTIONS_PART: f64 = 0.8;
/// An entry VM with fewer connections than this to an upstream uses fewer upstreams instead.
const CONNECTIONS_MIN: u32 = 2;
/// Upstreams that an entry VM uses at least, so that a failed one leaves a choice.
const UPSTREAMS_MIN: usize = 3;

/// An entry VM, as far as the division of upstreams depends on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The VM's name.
    pub name: Arc<str>,
    /// Its region; `None` if the deployment doesn't name its failure domain.
    pub region: Option<Arc<str>>,
}

/// An upstream and what this entry VM may use of it.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream, as in the snapshot.
    pub upstream: crate::Upstream,
    /// The round trip from this entry VM.
    pub round_trip: Millis,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Entry VMs among which its slots are divided.
    pub sharers: u32,
    /// The slots owned by this entry VM.
    pub own_slots: u32,
    /// Long requests that this entry VM may have in flight to it.
    pub long_slots: u32,
    /// Connections that this entry VM may have to it.
    pub connections: u32,
}

/// What this entry VM may use of a service's upstreams, worked out from a snapshot alone.
///
/// Every entry VM divides the same upstreams in the same way, so the parts of all of them sum to
/// at most the whole without any message between them. See docs/CHOICE.md.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// The upstreams that this entry VM uses, in the order of their names.
    pub candidates: Vec<Candidate>,
}

struct Place {
    domain: Arc<str>,
    region: Option<Arc<str>>,
}

impl Subset {
    /// The part of `service` that the entry VM `vm` uses, empty if the service is unknown.
    pub fn new(snapshot: &Snapshot, service: &str, vm: &str) -> Subset {
        let deployment = &snapshot.deployment;
        let Some(limits) = deployment.services.iter().find(|s| &*s.name == service) else {
            return Subset::default();
        };
        let here = here(snapshot, vm);
        let entries = entries(snapshot, vm);
        let mut candidates: Vec<Candidate> = snapshot
            .upstreams
            .iter()
            .filter(|upstream| &*upstream.service == service)
            .map(|upstream| Candidate {
                upstream: upstream.clone(),
                round_trip: round_trip(snapshot, &here, &upstream.domain),
                slots: limits.slots,
                sharers: sharers(snapshot, &entries, &upstream.domain),
                own_slots: 0,
                long_slots: 0,
                connections: limits.connections,
            })
            .collect();
        let long = long_slots(limits.slots, snapshot.preset.long_share);
        let own = divide(snapshot, &candidates, &entries, &here, vm, limits.slots);
        let own_long = divide(snapshot, &candidates, &entries, &here, vm, long);
        for (index, candidate) in candidates.iter_mut().enumerate() {
            candidate.own_slots = own[index];
            candidate.long_slots = own_long[index];
        }
        limit_connections(snapshot, &mut candidates, &entries, vm, limits.connections);
        Subset { candidates }
    }
}

/// The slots of one upstream that long requests may hold; at least one, if any may.
fn long_slots(slots: u32, share: f64) -> u32 {
    if share <= 0.0 {
        return 0;
    }
    ((f64::from(slots) * share) as u32).clamp(1, slots)
}

fn here(snapshot: &Snapshot, vm: &str) -> Place {
    let found = snapshot.vms.iter().find(|other| &*other.name == vm);
    let domain = found.map_or_else(|| Arc::from(""), |vm| Arc::clone(&vm.domain));
    let region = region_name(snapshot, &domain);
    Place { domain, region }
}

fn region_name(snapshot: &Snapshot, domain: &str) -> Option<Arc<str>> {
    let region = region_of(&snapshot.deployment, domain)?;
    Some(Arc::clone(&region.name))
}

/// The entry VMs that take part: all that aren't leaving, and this one.
fn entries(snapshot: &Snapshot, vm: &str) -> Vec<Entry> {
    let takes_part =
        |other: &&crate::Vm| other.state != crate::State::Leaving || &*other.name == vm;
    let entry = |other: &crate::Vm| Entry {
        name: Arc::clone(&other.name),
        region: region_name(snapshot, &other.domain),
    };
    snapshot.vms.iter().filter(takes_part).map(entry).collect()
}

fn round_trip(snapshot: &Snapshot, here: &Place, domain: &str) -> Millis {
    let deployment = &snapshot.deployment;
    if &*here.domain == domain {
        return Millis::ZERO;
    }
    let there = region_name(snapshot, domain);
    let one_way = match (&here.region, &there) {
        (from, to) if from == to => deployment.domain_delay,
        (Some(from), Some(to)) => delay(deployment, from, to),
        _ => Millis::MAX,
    };
    one_way + one_way
}

/// The entry VMs that divide the slots of an upstream in the failure domain `domain`.
fn sharers(snapshot: &Snapshot, entries: &[Entry], domain: &str) -> u32 {
    let region = region_name(snapshot, domain);
    let near = entries.iter().filter(|entry| entry.region == region).count();
    if near > 0 { near as u32 } else { entries.len() as u32 }
}

/// The slots that the entry VM `vm` owns of each candidate.
///
/// The upstreams of a region belong to the entry VMs of that region; those of a region without
/// entry VMs, to all.
fn divide(
    snapshot: &Snapshot,
    candidates: &[Candidate],
    entries: &[Entry],
    here: &Place,
    vm: &str,
    slots: u32,
) -> Vec<u32> {
    let regions = candidates.iter().map(|c| region_name(snapshot, &c.upstream.domain));
    let regions: Vec<Option<Arc<str>>> = regions.collect();
    let staffed = |region: &Option<Arc<str>>| entries.iter().any(|e| e.region == *region);
    let near: Vec<&Entry> = entries.iter().filter(|e| e.region == here.region).collect();
    let all: Vec<&Entry> = entries.iter().collect();
    let in_use = |at: usize| candidates[at].upstream.state == crate::State::Live;
    let when = |at: usize, wanted: bool| if wanted && in_use(at) { slots } else { 0 };
    let local: Vec<u32> =
        (0..regions.len()).map(|at| when(at, regions[at] == here.region)).collect();
    let orphan: Vec<u32> = (0..regions.len()).map(|at| when(at, !staffed(&regions[at]))).collect();
    let from_local = own_part(&local, &near, vm);
    let from_orphan = own_part(&orphan, &all, vm);
    from_local.iter().zip(from_orphan).map(|(local, orphan)| local + orphan).collect()
}

fn own_part(slots: &[u32], entries: &[&Entry], vm: &str) -> Vec<u32> {
    let Some(index) = entries.iter().position(|entry| &*entry.name == vm) else {
        return vec![0; slots.len()];
    };
    slots::own(slots, entries.len(), index)
}

/// Keeps the connections of all entry VMs to one upstream below its limit.
///
/// With few entry VMs each gets a part of every upstream's limit. With many, each uses a subset
/// of the upstreams, those of its own region first and one elsewhere, in the order of a hash of
/// the pair; so a VM that joins or leaves moves few pairs.
fn limit_connections(
    snapshot: &Snapshot,
    candidates: &mut Vec<Candidate>,
    entries: &[Entry],
    vm: &str,
    limit: u32,
) {
    let usable = ((f64::from(limit) * CONNECTIONS_PART) as u32).max(1);
    candidates.iter_mut().for_each(|candidate| candidate.connections = usable);
    let each = usable / (entries.len() as u32).max(1);
    if each >= CONNECTIONS_MIN || candidates.is_empty() {
        candidates.iter_mut().for_each(|candidate| candidate.connections = each.max(1));
        return;
    }
    let chosen = subset(snapshot, candidates, entries, vm);
    let mut at = 0;
    candidates.retain_mut(|candidate| {
        let connections = chosen[at];
        candidate.connections = connections;
        at += 1;
        connections > 0
    });
}

/// The connections that the entry VM `vm` may have to each candidate.
fn subset(snapshot: &Snapshot, candidates: &[Candidate], entries: &[Entry], vm: &str) -> Vec<u32> {
    let usable = candidates.iter().map(|candidate| candidate.connections).max().unwrap_or(0);
    let per_entry = candidates.len() * usable as usize / entries.len().max(1);
    let wanted = (per_entry / CONNECTIONS_MIN as usize).max(UPSTREAMS_MIN.min(per_entry));
    let wanted = wanted.clamp(1, candidates.len());
    let connections = (per_entry / wanted).max(1) as u32;
    let regions = candidates.iter().map(|c| region_name(snapshot, &c.upstream.domain));
    let regions: Vec<Option<Arc<str>>> = regions.collect();
    let mut left = vec![usable; candidates.len()];
    for entry in entries {
        let open = (0..candidates.len()).filter(|&at| left[at] >= connections);
        let mut order: Vec<usize> = open.collect();
        order.sort_by_key(|&at| (regions[at] != entry.region, pair_hash(entry, &candidates[at])));
        let chosen = near_and_one_far(&order, wanted, |at| regions[at] == entry.region);
        if &*entry.name == vm {
            let granted = |at| if chosen.contains(&at) { connections } else { 0 };
            return (0..candidates.len()).map(granted).collect();
        }
        chosen.iter().for_each(|&at| left[at] -= connections);
    }
    vec![0; candidates.len()]
}

/// The first `wanted` of `order`, with one far upstream among them if there is one.
fn near_and_one_far<F>(order: &[usize], wanted: usize, is_near: F) -> Vec<usize>
where
    F: Fn(usize) -> bool,
{
    let mut chosen: Vec<usize> = order.iter().copied().take(wanted).collect();
    let far = order.iter().copied().find(|&at| !is_near(at));
    if let (Some(last), Some(far)) = (chosen.last_mut(), far)
        && wanted > 1
        && is_near(*last)
    {
        *last = far;
    }
    chosen
}

fn pair_hash(entry: &Entry, candidate: &Candidate) -> u64 {
    let seed = xxh3_64_with_seed(entry.name.as_bytes(), 0);
    xxh3_64_with_seed(candidate.upstream.name.as_bytes(), seed)
}
