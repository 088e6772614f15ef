use super::slots;
use crate::{Snapshot, delay, region_of};
use clock::Millis;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of an upstream's limit of connections that is used, with one connection for each
/// request in flight; the rest covers entry VMs that are not known yet.
const CONNECTIONS_USED: f64 = 0.8;
/// An entry VM that would get fewer connections to an upstream uses fewer upstreams instead.
const MIN_CONNECTIONS: u32 = 2;
/// Upstreams that an entry VM uses at least, so that others are left when one fails.
const MIN_UPSTREAMS: usize = 3;

/// The properties of an entry VM that the division of upstreams depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The VM's name.
    pub name: Arc<str>,
    /// Its region; `None` if the deployment does not name its failure domain.
    pub region: Option<Arc<str>>,
}

/// An upstream and the parts of its limits that this entry VM may use.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The upstream, as in the snapshot.
    pub upstream: crate::Upstream,
    /// Round-trip time from this entry VM.
    pub round_trip: Millis,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Number of entry VMs that share its slots.
    pub sharers: u32,
    /// Slots that this entry VM owns.
    pub own_slots: u32,
    /// Long requests that this entry VM may have in flight to it.
    pub long_slots: u32,
    /// Connections that this entry VM may have to it.
    pub connections: u32,
}

/// The subset of a service's upstreams that this entry VM uses, derived from a snapshot alone.
///
/// Every entry VM divides the same upstreams in the same way, so the parts of all of them sum to at
/// most each upstream's limits, without any message between them. See docs/CHOICE.md.
#[derive(Clone, Debug, Default)]
pub struct Subset {
    /// The upstreams that this entry VM uses, sorted by name.
    pub candidates: Vec<Candidate>,
}

struct Location {
    domain: Arc<str>,
    region: Option<Arc<str>>,
}

impl Subset {
    /// The subset of `service` for the entry VM `vm`; empty if the service is unknown.
    pub fn new(snapshot: &Snapshot, service: &str, vm: &str) -> Subset {
        let deployment = &snapshot.deployment;
        let Some(limits) = deployment.services.iter().find(|s| &*s.name == service) else {
            return Subset::default();
        };
        let location = location_of(snapshot, vm);
        let entry_vms = participating(snapshot, vm);
        let mut candidates: Vec<Candidate> = snapshot
            .upstreams
            .iter()
            .filter(|upstream| &*upstream.service == service)
            .map(|upstream| Candidate {
                upstream: upstream.clone(),
                round_trip: round_trip(snapshot, &location, &upstream.domain),
                slots: limits.slots,
                sharers: sharers(snapshot, &entry_vms, &upstream.domain),
                own_slots: 0,
                long_slots: 0,
                connections: limits.connections,
            })
            .collect();
        let long = long_slots(limits.slots, snapshot.preset.long_share);
        let own = divide(snapshot, &candidates, &entry_vms, &location, vm, limits.slots);
        let own_long = divide(snapshot, &candidates, &entry_vms, &location, vm, long);
        for (index, candidate) in candidates.iter_mut().enumerate() {
            candidate.own_slots = own[index];
            candidate.long_slots = own_long[index];
        }
        limit_connections(snapshot, &mut candidates, &entry_vms, vm, limits.connections);
        Subset { candidates }
    }
}

/// Slots of one upstream that long requests may hold; at least one, if any may.
fn long_slots(slots: u32, share: f64) -> u32 {
    if share <= 0.0 {
        return 0;
    }
    ((f64::from(slots) * share) as u32).clamp(1, slots)
}

fn location_of(snapshot: &Snapshot, vm: &str) -> Location {
    let found = snapshot.vms.iter().find(|other| &*other.name == vm);
    let domain = found.map_or_else(|| Arc::from(""), |vm| Arc::clone(&vm.domain));
    let region = region_name(snapshot, &domain);
    Location { domain, region }
}

fn region_name(snapshot: &Snapshot, domain: &str) -> Option<Arc<str>> {
    let region = region_of(&snapshot.deployment, domain)?;
    Some(Arc::clone(&region.name))
}

/// The entry VMs among which upstreams are divided: all that aren't leaving, and this one.
fn participating(snapshot: &Snapshot, vm: &str) -> Vec<Entry> {
    let takes_part =
        |other: &&crate::Vm| other.state != crate::State::Leaving || &*other.name == vm;
    let entry = |other: &crate::Vm| Entry {
        name: Arc::clone(&other.name),
        region: region_name(snapshot, &other.domain),
    };
    snapshot.vms.iter().filter(takes_part).map(entry).collect()
}

fn round_trip(snapshot: &Snapshot, location: &Location, domain: &str) -> Millis {
    let deployment = &snapshot.deployment;
    if &*location.domain == domain {
        return Millis::ZERO;
    }
    let there = region_name(snapshot, domain);
    let one_way = match (&location.region, &there) {
        (from, to) if from == to => deployment.domain_delay,
        (Some(from), Some(to)) => delay(deployment, from, to),
        _ => Millis::MAX,
    };
    one_way + one_way
}

/// The number of entry VMs that share the slots of an upstream in the failure domain `domain`.
fn sharers(snapshot: &Snapshot, entry_vms: &[Entry], domain: &str) -> u32 {
    let region = region_name(snapshot, domain);
    let near = entry_vms.iter().filter(|entry| entry.region == region).count();
    if near > 0 { near as u32 } else { entry_vms.len() as u32 }
}

/// The slots that the entry VM `vm` owns of each candidate.
///
/// The upstreams of a region belong to the entry VMs of that region; those of a region without
/// entry VMs, to all entry VMs.
fn divide(
    snapshot: &Snapshot,
    candidates: &[Candidate],
    entry_vms: &[Entry],
    location: &Location,
    vm: &str,
    slots: u32,
) -> Vec<u32> {
    let regions = candidates.iter().map(|c| region_name(snapshot, &c.upstream.domain));
    let regions: Vec<Option<Arc<str>>> = regions.collect();
    let has_entry_vm = |region: &Option<Arc<str>>| entry_vms.iter().any(|e| e.region == *region);
    let near: Vec<&Entry> = entry_vms.iter().filter(|e| e.region == location.region).collect();
    let all: Vec<&Entry> = entry_vms.iter().collect();
    let in_use = |at: usize| candidates[at].upstream.state == crate::State::Live;
    let slots_if = |at: usize, wanted: bool| if wanted && in_use(at) { slots } else { 0 };
    let local: Vec<u32> =
        (0..regions.len()).map(|at| slots_if(at, regions[at] == location.region)).collect();
    let unserved: Vec<u32> =
        (0..regions.len()).map(|at| slots_if(at, !has_entry_vm(&regions[at]))).collect();
    let own_local = own_slots_of(&local, &near, vm);
    let own_unserved = own_slots_of(&unserved, &all, vm);
    own_local.iter().zip(own_unserved).map(|(local, unserved)| local + unserved).collect()
}

fn own_slots_of(slots: &[u32], entry_vms: &[&Entry], vm: &str) -> Vec<u32> {
    let Some(index) = entry_vms.iter().position(|entry| &*entry.name == vm) else {
        return vec![0; slots.len()];
    };
    slots::own(slots, entry_vms.len(), index)
}

/// Keeps the connections of all entry VMs to one upstream below its limit.
///
/// With few entry VMs, each gets a part of every upstream's limit. With many, each uses a subset of
/// the upstreams: those of its own region first and one elsewhere, in the order of a hash of the
/// pair of VM and upstream, so that a VM that joins or leaves changes few pairs.
fn limit_connections(
    snapshot: &Snapshot,
    candidates: &mut Vec<Candidate>,
    entry_vms: &[Entry],
    vm: &str,
    limit: u32,
) {
    let usable = ((f64::from(limit) * CONNECTIONS_USED) as u32).max(1);
    candidates.iter_mut().for_each(|candidate| candidate.connections = usable);
    let each = usable / (entry_vms.len() as u32).max(1);
    if each >= MIN_CONNECTIONS || candidates.is_empty() {
        candidates.iter_mut().for_each(|candidate| candidate.connections = each.max(1));
        return;
    }
    let chosen = allot_connections(snapshot, candidates, entry_vms, vm);
    let mut at = 0;
    candidates.retain_mut(|candidate| {
        let connections = chosen[at];
        candidate.connections = connections;
        at += 1;
        connections > 0
    });
}

/// The connections that the entry VM `vm` may have to each candidate; zero for those it does not
/// use.
fn allot_connections(
    snapshot: &Snapshot,
    candidates: &[Candidate],
    entry_vms: &[Entry],
    vm: &str,
) -> Vec<u32> {
    let usable = candidates.iter().map(|candidate| candidate.connections).max().unwrap_or(0);
    let per_entry = candidates.len() * usable as usize / entry_vms.len().max(1);
    let wanted = (per_entry / MIN_CONNECTIONS as usize).max(MIN_UPSTREAMS.min(per_entry));
    let wanted = wanted.clamp(1, candidates.len());
    let connections = (per_entry / wanted).max(1) as u32;
    let regions = candidates.iter().map(|c| region_name(snapshot, &c.upstream.domain));
    let regions: Vec<Option<Arc<str>>> = regions.collect();
    let mut free = vec![usable; candidates.len()];
    for entry in entry_vms {
        let available = (0..candidates.len()).filter(|&at| free[at] >= connections);
        let mut order: Vec<usize> = available.collect();
        order.sort_by_key(|&at| (regions[at] != entry.region, pair_hash(entry, &candidates[at])));
        let chosen = with_one_remote(&order, wanted, |at| regions[at] == entry.region);
        if &*entry.name == vm {
            let granted = |at| if chosen.contains(&at) { connections } else { 0 };
            return (0..candidates.len()).map(granted).collect();
        }
        chosen.iter().for_each(|&at| free[at] -= connections);
    }
    vec![0; candidates.len()]
}

/// The first `wanted` of `order`, among them one outside the region if there is one.
fn with_one_remote<F>(order: &[usize], wanted: usize, is_near: F) -> Vec<usize>
where
    F: Fn(usize) -> bool,
{
    let mut chosen: Vec<usize> = order.iter().copied().take(wanted).collect();
    let remote = order.iter().copied().find(|&at| !is_near(at));
    if let (Some(last), Some(remote)) = (chosen.last_mut(), remote)
        && wanted > 1
        && is_near(*last)
    {
        *last = remote;
    }
    chosen
}

fn pair_hash(entry: &Entry, candidate: &Candidate) -> u64 {
    let seed = xxh3_64_with_seed(entry.name.as_bytes(), 0);
    xxh3_64_with_seed(candidate.upstream.name.as_bytes(), seed)
}
