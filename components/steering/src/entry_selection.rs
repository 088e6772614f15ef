//! Selects the entry VMs of a region that look-ups return.
//!
//! Entry VMs differ in size. Each has its own connections to upstreams, so the fewer VMs carry the
//! traffic, the more often connections are reused and the more each VM observes of the upstreams'
//! load. The large VMs take all callers while they can. See docs/DATAPATH.md, "Look-ups".

use crate::membership::Member;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Fraction of the largest VM's CPU share and link bandwidth from which a VM counts as large.
const LARGE_FRACTION: f64 = 0.5;
/// Large VMs that are required, so that losing one moves at most a third of the callers.
const MIN_LARGE: usize = 3;
/// Fraction of the region's CPU that the large VMs must have, so that they get at most 2.5 times
/// the work that they would get if all VMs were returned.
const MIN_LARGE_CPU: f64 = 0.4;

/// The region of each failure domain.
pub type Regions = HashMap<Arc<str>, Arc<str>>;

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
