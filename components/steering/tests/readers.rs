//! A large fleet has a few readers in each region, and never none.

use clock::Millis;
use steering::readers::is_reader;

fn readers(names: &[String], fleet: usize, confirmed: Option<Millis>) -> usize {
    let reads = |vm: &&String| {
        let others = names.iter().filter(|other| other != vm).map(String::as_str);
        is_reader(vm, others, fleet, confirmed)
    };
    names.iter().filter(reads).count()
}

fn region(size: usize) -> Vec<String> {
    (0..size).map(|vm| format!("vm{vm}")).collect()
}

#[test]
fn in_a_small_fleet_all_vms_read() {
    assert_eq!(readers(&region(9), 9, Some(Millis::ZERO)), 9);
}

#[test]
fn a_large_fleet_has_three_readers_a_region_whatever_its_size() {
    for size in [3, 24, 240] {
        assert_eq!(readers(&region(size), 3 * size + 10, Some(Millis(1_000))), 3);
    }
}

#[test]
fn the_last_vms_of_a_region_read() {
    for size in 1..3 {
        assert_eq!(readers(&region(size), 60, Some(Millis::ZERO)), size);
    }
}

#[test]
fn a_vm_reads_when_its_state_is_not_confirmed() {
    for confirmed in [None, Some(Millis(5_000)), Some(Millis::MAX)] {
        assert_eq!(readers(&region(24), 72, confirmed), 24);
    }
}
