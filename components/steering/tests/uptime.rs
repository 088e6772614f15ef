//! VMs agree on the outages of the store.

use clock::Millis;
use steering::uptime::Uptime;

const RENEWAL: Millis = Millis(1_500);

fn span(start: u64, end: u64) -> Uptime {
    Uptime { start: Millis(start), end: Millis(end) }
}

fn merge(one: Uptime, other: Uptime) -> Uptime {
    let merged = one.merge(other, RENEWAL);
    assert_eq!(merged, other.merge(one, RENEWAL), "the order doesn't matter");
    merged
}

/// As in the fault silent-connections: all connections to the store are reset at once, and each VM
/// has a new one 0.7 to 1.3 s later.
#[test]
fn a_connection_that_is_reopened_at_once_is_no_outage() {
    let responses = [15_306, 16_600, 18_600, 20_700].map(|at| Uptime::at(Millis(at)));
    let uptime = responses.into_iter().reduce(merge).unwrap();
    assert_eq!(uptime, span(15_306, 20_700));
}

/// A VM is partitioned for 12 s while the others keep their connections to the store.
#[test]
fn responses_to_peers_close_the_gap_of_a_vm_that_was_partitioned() {
    let own = merge(span(0, 1_000), Uptime::at(Millis(13_100)));
    assert_eq!(own, span(13_100, 13_100));
    assert_eq!(merge(own, span(0, 13_000)), span(0, 13_100));
}

#[test]
fn an_outage_for_all_vms_starts_a_new_period() {
    let before = merge(span(0, 7_000), span(100, 6_900));
    let after = merge(before, span(12_100, 12_300));
    assert_eq!(after, span(12_100, 12_300));
    assert_eq!(merge(after, before), after, "an earlier period changes nothing");
}

#[test]
fn entries_with_longer_renewal_intervals_outlast_longer_pauses() {
    let slow = Millis(4_000);
    assert_eq!(span(0, 1_000).merge(span(8_100, 8_200), slow), span(0, 8_200));
    assert_eq!(span(0, 1_000).merge(span(8_300, 8_400), slow), span(8_300, 8_400));
}
