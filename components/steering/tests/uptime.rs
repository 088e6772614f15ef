//! What VMs know together of outages of the store.

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

/// The pattern of silent-connections: all connections to the store are reset at once, and each VM
/// has a new one 0.7 to 1.3 s later.
#[test]
fn a_connection_that_broke_for_a_moment_is_no_outage() {
    let answers = [15_306, 16_600, 18_600, 20_700].map(|at| Uptime::at(Millis(at)));
    let contact = answers.into_iter().reduce(merge).unwrap();
    assert_eq!(contact, span(15_306, 20_700));
}

/// The pattern of a VM that was cut off for 12 s while the others kept their connections.
#[test]
fn what_neighbours_heard_meanwhile_closes_the_gap_of_a_vm_that_was_cut_off() {
    let own = merge(span(0, 1_000), Uptime::at(Millis(13_100)));
    assert_eq!(own, span(13_100, 13_100));
    assert_eq!(merge(own, span(0, 13_000)), span(0, 13_100));
}

#[test]
fn an_outage_that_nobody_was_spared_starts_a_new_span() {
    let before = merge(span(0, 7_000), span(100, 6_900));
    let after = merge(before, span(12_100, 12_300));
    assert_eq!(after, span(12_100, 12_300));
    assert_eq!(merge(after, before), after, "old news changes nothing");
}

#[test]
fn entries_that_are_renewed_slowly_outlast_longer_pauses() {
    let slow = Millis(4_000);
    assert_eq!(span(0, 1_000).merge(span(8_100, 8_200), slow), span(0, 8_200));
    assert_eq!(span(0, 1_000).merge(span(8_300, 8_400), slow), span(8_300, 8_400));
}
