//! Look-ups name the large VMs of a region while those can carry it.

use std::net::SocketAddr;
use steering::entry_selection::select;
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

/// The pattern of a grown fleet: each domain of a region has two large VMs and a dozen small ones.
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
fn equal_vms_are_all_named() {
    let region: Vec<Member> =
        (0..3).map(|at| member(&format!("m{at}"), "d1", 200, 1_000)).collect();
    assert_eq!(names(&region).len(), 3);
}

#[test]
fn all_are_named_when_too_few_large_ones_are_left() {
    let region: Vec<Member> = region().into_iter().filter(|each| *each.domain != *"d2").collect();
    assert_eq!(names(&region).len(), 15);
}

#[test]
fn all_are_named_while_a_large_one_is_pressed() {
    let mut region = region();
    region[1].pressed = true;
    assert_eq!(names(&region).len(), 30);
}

#[test]
fn all_are_named_when_the_large_ones_are_a_small_part() {
    let mut region = region();
    region.extend((0..60).map(|at| member(&format!("t{at}"), "d1", 100, 10)));
    assert_eq!(names(&region).len(), 90);
}

#[test]
fn a_fast_processor_behind_a_thin_link_is_not_large() {
    let mut region = region();
    // Fewer small ones, so that the four large ones still have two fifths of the processors.
    region.truncate(25);
    region.push(member("thin", "d1", 500, 10));
    assert!(!names(&region).contains(&"thin"));
}

#[test]
fn large_vms_in_one_domain_only_are_not_relied_on() {
    let mut region = region();
    region.iter_mut().take(4).for_each(|each| each.domain = "d1".into());
    assert_eq!(names(&region).len(), 30);
}
