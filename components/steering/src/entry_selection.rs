//! Selects the entry VMs that look-ups return: those of the caller's region, or of the others if it
//! has none.
//!
//! Entry VMs differ in size. Each has its own connections to upstreams, so the fewer VMs carry the
//! traffic, the more often connections are reused and the more each VM observes of the upstreams'
//! load. The large VMs take all callers while they can. See docs/DATAPATH.md, "Look-ups".

use crate::membership::Member;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Limit of entry VMs in one response.
const MAX_VMS: usize = 64;

/// Fraction of the largest VM's CPU share and link bandwidth from which a VM counts as large.
const LARGE_FRACTION: f64 = 0.5;
/// Large VMs that are required, so that losing one moves at most a third of the callers.
const MIN_LARGE: usize = 3;
/// Fraction of the region's CPU that the large VMs must have, so that they get at most 2.5 times
/// the work that they would get if all VMs were returned.
const MIN_LARGE_CPU: f64 = 0.4;

/// The region of each failure domain.
pub type Regions = HashMap<Arc<str>, Arc<str>>;

/// The entry VMs that a look-up returns.
#[derive(Debug)]
pub struct Selection<'a> {
    /// The VMs.
    pub vms: Vec<&'a Member>,
    /// Ready VMs of the caller's region. If there are none, the selection is from other regions.
    pub ready_in_region: usize,
}

/// The region of a caller that gives its `region` and failure `domain`, or `own` if neither is
/// known.
pub fn caller_region(
    regions: &Regions,
    region: Option<&str>,
    domain: Option<&str>,
    own: &Arc<str>,
) -> Arc<str> {
    let named = region.and_then(|region| regions.values().find(|each| ***each == *region));
    let known = named.or_else(|| regions.get(domain?));
    Arc::clone(known.unwrap_or(own))
}

/// The VMs that `vm` returns to callers of `region`, out of the `ready` ones of all regions.
pub fn select_for<'a>(
    vm: &str,
    region: &str,
    ready: &[&'a Member],
    regions: &Regions,
) -> Selection<'a> {
    let mut by_region: BTreeMap<Option<&str>, Vec<&Member>> = BTreeMap::new();
    for member in ready {
        let region = regions.get(&member.domain).map(AsRef::as_ref);
        by_region.entry(region).or_default().push(member);
    }
    let near = by_region.get(&Some(region));
    let vms = match near {
        Some(near) => select(near),
        None => by_region.values().flat_map(|far| select(far)).collect(),
    };
    Selection { vms: limit(vm, vms), ready_in_region: near.map_or(0, Vec::len) }
}

/// At most [`MAX_VMS`] of `vms`, by rendezvous hashing with the name of the VM that answers: a
/// caller that tries the same VM again gets the same ones, and all VMs together return each of them
/// about equally often.
fn limit<'a>(vm: &str, mut vms: Vec<&'a Member>) -> Vec<&'a Member> {
    if vms.len() > MAX_VMS {
        let seed = xxh3_64(vm.as_bytes());
        vms.sort_by_cached_key(|member| Reverse(xxh3_64_with_seed(member.vm.as_bytes(), seed)));
        vms.truncate(MAX_VMS);
    }
    vms
}

/// The VMs to return out of the `ready` ones of a region: the large ones if they are sufficient,
/// otherwise all.
pub fn select<'a>(ready: &[&'a Member]) -> Vec<&'a Member> {
    let largest = |of: fn(&Member) -> u32| ready.iter().map(|member| of(member)).max().unwrap_or(0);
    let (cpu, link) = (largest(|member| member.millicores), largest(|member| member.link_mbps));
    let is_large = |member: &Member| {
        f64::from(member.millicores) >= f64::from(cpu) * LARGE_FRACTION
            && f64::from(member.link_mbps) >= f64::from(link) * LARGE_FRACTION
    };
    let large: Vec<&Member> = ready.iter().copied().filter(|member| is_large(member)).collect();
    if is_sufficient(&large, ready) { large } else { ready.to_vec() }
}

/// Whether the large VMs can carry the region's callers, even after the loss of a failure domain,
/// and none of them is under CPU pressure.
fn is_sufficient(large: &[&Member], ready: &[&Member]) -> bool {
    let sum = |members: &[&Member]| -> f64 {
        members.iter().map(|member| f64::from(member.millicores)).sum()
    };
    let domains = |members: &[&Member]| {
        members.iter().map(|member| &member.domain).collect::<BTreeSet<_>>().len()
    };
    large.len() >= MIN_LARGE
        && domains(large) >= domains(ready).min(2)
        && sum(large) >= sum(ready) * MIN_LARGE_CPU
        && !large.iter().any(|member| member.pressed)
}
