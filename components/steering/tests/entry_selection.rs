//! Look-ups return the large VMs of a region while those can carry its callers.

use std::net::SocketAddr;
use steering::entry_selection::{Regions, caller_region, select};
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
        beat: 1,
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
