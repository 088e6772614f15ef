//! Which of a region's entry VMs a look-up names.
//!
//! Entry VMs differ in size. Connections to upstreams belong to one VM, so the fewer VMs carry the
//! traffic, the more often a connection is used again and the more each VM sees of the upstreams'
//! load. The large VMs take it while they can. See docs/DATAPATH.md, "Look-ups".

use crate::membership::Member;
use std::collections::BTreeSet;

/// The part of the largest VM's processor and link that makes a VM a large one.
const LARGE_PART: f64 = 0.5;
/// Large VMs that must be there, so that losing one moves at most a third of the callers.
const LARGE_LEAST: usize = 3;
/// The part of the region's processors that the large VMs must have, so that they get no more than
/// two and a half times the work that they would get if all VMs were named.
const LARGE_CORES: f64 = 0.4;

/// The VMs to name among the ready ones of a region.
pub fn select<'a>(ready: &[&'a Member]) -> Vec<&'a Member> {
    let most = |of: fn(&Member) -> u32| ready.iter().map(|member| of(member)).max().unwrap_or(0);
    let (cores, link) = (most(|member| member.millicores), most(|member| member.link_mbps));
    let is_large = |member: &Member| {
        f64::from(member.millicores) >= f64::from(cores) * LARGE_PART
            && f64::from(member.link_mbps) >= f64::from(link) * LARGE_PART
    };
    let large: Vec<&Member> = ready.iter().copied().filter(|member| is_large(member)).collect();
    if suffice(&large, ready) { large } else { ready.to_vec() }
}

/// Whether the large VMs can carry the region and one failure domain of them may be lost.
fn suffice(large: &[&Member], ready: &[&Member]) -> bool {
    let sum = |members: &[&Member]| -> f64 {
        members.iter().map(|member| f64::from(member.millicores)).sum()
    };
    let domains = |members: &[&Member]| {
        members.iter().map(|member| &member.domain).collect::<BTreeSet<_>>().len()
    };
    large.len() >= LARGE_LEAST
        && domains(large) >= domains(ready).min(2)
        && sum(large) >= sum(ready) * LARGE_CORES
        && !large.iter().any(|member| member.pressed)
}
