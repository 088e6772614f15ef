//! A large fleet has a few readers in each region, and no VM relies on peers with an old copy.

use clock::Millis;
use steering::readers::{Role, poll_wait, role, select};
use steering::staleness::Limits;

const LIMITS: Limits =
    Limits { request: Millis(1_000), read: Millis(2_000), transfer: Millis(4_000) };

/// The VMs of a region that read from the store if their copies have the given age.
fn reading(names: &[String], fleet: usize, age: Option<Millis>) -> Vec<&str> {
    let reads = |vm: &&String| {
        let others = names.iter().filter(|other| other != vm).map(String::as_str);
        role(vm, others, fleet, age, LIMITS) != Role::Follower
    };
    names.iter().filter(reads).map(String::as_str).collect()
}

fn region(size: usize) -> Vec<String> {
    (0..size).map(|vm| format!("vm{vm}")).collect()
}

#[test]
fn in_a_small_fleet_all_vms_read() {
    assert_eq!(reading(&region(9), 9, Some(Millis::ZERO)).len(), 9);
}

#[test]
fn a_large_fleet_has_three_readers_a_region_whatever_its_size() {
    for size in [3, 24, 240] {
        assert_eq!(reading(&region(size), 3 * size + 10, Some(Millis(1_000))).len(), 3);
    }
}

#[test]
fn the_last_vms_of_a_region_read() {
    for size in 1..3 {
        assert_eq!(reading(&region(size), 60, Some(Millis::ZERO)).len(), size);
    }
}

#[test]
fn a_vm_reads_when_its_copy_is_not_confirmed() {
    for age in [None, Some(LIMITS.read), Some(Millis::MAX)] {
        assert_eq!(reading(&region(24), 72, age).len(), 24);
    }
    assert_eq!(reading(&region(24), 72, Some(LIMITS.read - Millis(1))).len(), 3);
}

#[test]
fn the_vms_that_get_requests_are_those_that_read() {
    let names = region(24);
    let mut selected = select(names.iter().map(String::as_str));
    let mut reading = reading(&names, 72, Some(Millis::ZERO));
    selected.sort_unstable();
    reading.sort_unstable();
    assert_eq!(selected, reading);
}

#[test]
fn a_poll_ends_before_its_region_sends_requests_and_before_a_silent_connection_may_show() {
    let settling = Millis(4_000);
    let wait = |fleet, age, settling| poll_wait(fleet, Some(age), LIMITS, settling);
    assert_eq!(wait(72, Millis::ZERO, settling), LIMITS.request);
    assert_eq!(wait(72, Millis(300), settling), LIMITS.request - Millis(300));
    assert_eq!(wait(72, LIMITS.read, settling), Millis(250));
    assert_eq!(poll_wait(72, None, LIMITS, settling), LIMITS.request);
    for age in [Millis::ZERO, LIMITS.read] {
        assert_eq!(wait(9, age, settling), Millis(2_000));
        assert_eq!(wait(9, age, Millis(3_000)), Millis(1_500));
    }
}
