//! Look-ups return the large VMs of a region while those can carry its callers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use steering::entry_selection::{Regions, caller_region, select, select_for};
use steering::membership::Member;

fn member(name: &str, domain: &str, millicores: u32, link_mbps: u32) -> Member {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    Member {
        vm: name.into(),
        domain: domain.into(),
        callers: address,
        changes: address,
        heartbeats: address,
        incarnation: 1,
        counter: 1,
        ready: true,
        millicores,
        link_mbps,
        pressed: false,
    }
}

/// A region of a large fleet: each failure domain has two large VMs and a dozen small ones.
fn region() -> Vec<Member> {
    let domains = ["d1", "d2"];
    let large = (0..4).map(|at| member(&format!("l{at}"), domains[at % 2], 500, 200));
    let small = (0..26).map(|at| member(&format!("s{at}"), domains[at % 2], 100, 10));
    large.chain(small).collect()
}

fn names(region: &[Member]) -> Vec<&str> {
    let ready: Vec<&Member> = region.iter().collect();
    select(&ready).into_iter().map(|member| member.vm.as_ref()).collect()
}

#[test]
fn the_large_vms_of_a_region_take_its_callers() {
    assert_eq!(names(&region()), ["l0", "l1", "l2", "l3"]);
}

#[test]
fn equal_vms_are_all_selected() {
    let region: Vec<Member> =
        (0..3).map(|at| member(&format!("m{at}"), "d1", 200, 1_000)).collect();
    assert_eq!(names(&region).len(), 3);
}

#[test]
fn all_are_selected_when_too_few_large_ones_are_left() {
    let region: Vec<Member> = region().into_iter().filter(|each| *each.domain != *"d2").collect();
    assert_eq!(names(&region).len(), 15);
}

#[test]
fn all_are_selected_while_a_large_one_is_under_cpu_pressure() {
    let mut region = region();
    region[1].pressed = true;
    assert_eq!(names(&region).len(), 30);
}

#[test]
fn all_are_selected_when_the_large_ones_have_little_of_the_cpu() {
    let mut region = region();
    region.extend((0..60).map(|at| member(&format!("t{at}"), "d1", 100, 10)));
    assert_eq!(names(&region).len(), 90);
}

#[test]
fn a_vm_with_much_cpu_and_little_bandwidth_is_not_large() {
    let mut region = region();
    // Fewer small ones, so that the four large ones still have two fifths of the CPU.
    region.truncate(25);
    region.push(member("thin", "d1", 500, 10));
    assert!(!names(&region).contains(&"thin"));
}

#[test]
fn large_vms_of_a_single_failure_domain_are_not_sufficient() {
    let mut region = region();
    region.iter_mut().take(4).for_each(|each| each.domain = "d1".into());
    assert_eq!(names(&region).len(), 30);
}

/// The regions of a large deployment: each has two failure domains.
fn regions() -> Regions {
    let domains = (0..6).map(|at| (format!("d{at}").into(), format!("r{}", at / 2).into()));
    domains.collect()
}

/// Equal VMs in all failure domains. Their addresses are in the order of the failure domains.
fn fleet(per_domain: usize) -> Vec<Member> {
    let members = (0..6).flat_map(|domain| {
        (0..per_domain).map(move |at| {
            let vm = member(&format!("v{domain}-{at}"), &format!("d{domain}"), 100, 10);
            Member { callers: format!("10.{domain}.0.{at}:80").parse().unwrap(), ..vm }
        })
    });
    members.collect()
}

fn selected(vm: &str, region: &str, fleet: &[Member]) -> BTreeSet<SocketAddr> {
    let ready: Vec<&Member> = fleet.iter().filter(|member| member.ready).collect();
    let selection = select_for(vm, region, &ready, &regions());
    selection.vms.iter().map(|member| member.callers).collect()
}

/// How many of `addresses` are in each failure domain of a [`fleet`].
fn per_domain(addresses: &BTreeSet<SocketAddr>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for address in addresses {
        *counts.entry(address.to_string()[..4].to_owned()).or_default() += 1;
    }
    counts
}

#[test]
fn only_vms_of_the_region_are_selected_while_one_is_ready() {
    let mut fleet = fleet(20);
    assert_eq!(
        per_domain(&selected("a", "r1", &fleet)).into_values().collect::<Vec<_>>(),
        [20, 20]
    );
    fleet.iter_mut().filter(|each| matches!(&*each.domain, "d2" | "d3")).for_each(|each| {
        each.ready = each.vm.as_ref() == "v2-7";
    });
    assert_eq!(selected("a", "r1", &fleet), ["10.2.0.7:80".parse().unwrap()].into());
}

/// Guards against callers that all go to one region: the VMs of all other regions were sorted by
/// address and cut, so that the regions behind got nothing.
#[test]
fn callers_of_a_region_without_vms_are_spread_over_all_other_regions() {
    let mut fleet = fleet(40);
    fleet.retain(|each| !matches!(&*each.domain, "d2" | "d3"));
    for answering in 0..50 {
        let addresses = selected(&format!("a{answering}"), "r1", &fleet);
        let counts = per_domain(&addresses);
        assert_eq!((addresses.len(), counts.len()), (64, 4), "{counts:?}");
        assert!(counts.values().all(|count| (4..=28).contains(count)), "{counts:?}");
    }
}

/// Guards against regions that are left out: the large VMs were selected out of all regions
/// together, and a region may have none of that size.
#[test]
fn callers_of_a_region_without_vms_get_the_large_vms_of_each_other_region() {
    let mut fleet = fleet(10);
    fleet.retain(|each| !matches!(&*each.domain, "d2" | "d3"));
    for each in fleet.iter_mut().filter(|each| matches!(&*each.domain, "d0" | "d1")) {
        if each.vm.ends_with("-0") || each.vm.ends_with("-1") {
            (each.millicores, each.link_mbps) = (1_000, 200);
        }
    }
    let counts = per_domain(&selected("a", "r1", &fleet));
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [2, 2, 10, 10]);
}

/// Guards against VMs of a large region that get no callers: its VMs were sorted by address and
/// cut.
#[test]
fn all_vms_of_a_large_region_get_callers() {
    let fleet = fleet(120);
    let mut named: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for answering in &fleet[..240] {
        let first = selected(&answering.vm, "r0", &fleet);
        assert_eq!(first.len(), 64);
        assert_eq!(first, selected(&answering.vm, "r0", &fleet), "the same VMs the next time");
        first.into_iter().for_each(|address| *named.entry(address).or_default() += 1);
    }
    assert_eq!(named.len(), 240);
    assert!(named.values().all(|count| (32..=96).contains(count)), "{named:?}");
}

/// A VM that goes changes one address of an answer, so callers keep their other connections.
#[test]
fn an_answer_for_a_large_region_changes_little_when_a_vm_goes() {
    let mut fleet = fleet(120);
    let before = selected("a", "r0", &fleet);
    fleet.retain(|each| each.callers != *before.first().unwrap());
    assert_eq!(selected("a", "r0", &fleet).difference(&before).count(), 1);
}

#[test]
fn few_vms_that_are_left_are_all_selected() {
    // One large VM and a few small ones.
    let region: Vec<Member> = region().into_iter().skip(3).take(4).collect();
    assert_eq!(names(&region), ["l3", "s0", "s1", "s2"]);
    // Only small ones: the largest that is ready counts.
    assert_eq!(names(&region[1..]), ["s0", "s1", "s2"]);
    // Large ones only, in one failure domain.
    let large = [member("l0", "d1", 500, 200), member("l1", "d1", 500, 200)];
    assert_eq!(names(&large), ["l0", "l1"]);
}

/// Guards against callers that are sent to other regions: a look-up without a region, or with one
/// that no VM knows.
#[test]
fn the_region_of_a_caller_is_that_of_its_failure_domain_if_it_names_none() {
    let (regions, own) = (regions(), "r0".into());
    let region = |region, domain| caller_region(&regions, region, domain, &own);
    assert_eq!(&*region(Some("r2"), None), "r2");
    assert_eq!(&*region(Some("r2"), Some("d0")), "r2");
    assert_eq!(&*region(None, Some("d2")), "r1");
    assert_eq!(&*region(Some("nowhere"), Some("d2")), "r1");
    assert_eq!(&*region(Some("nowhere"), Some("nowhere")), "r0");
    assert_eq!(&*region(None, None), "r0");
}
