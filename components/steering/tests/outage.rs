//! Which outages of the store can make upstreams' entries lapse.

use clock::Millis;
use steering::outage::Outage;

const RENEWAL: Millis = Millis(1_500);
const WAIT: Millis = Millis(2_000);

/// The pattern of silent-connections: all connections to the store are reset at once, and each VM
/// has a new one 0.7 s later.
#[test]
fn a_connection_that_broke_for_a_moment_lets_nothing_lapse() {
    let mut outage = Outage::default();
    outage.failed(Millis(14_000), WAIT, Millis(15_306));
    assert!(outage.is_on());
    assert!(!outage.lapses(RENEWAL, Millis(16_600)));
    outage.ended();
    assert!(!outage.is_on());
}

#[test]
fn an_outage_of_two_renewals_may_let_entries_lapse() {
    let mut outage = Outage::default();
    outage.failed(Millis(10_000), WAIT, Millis(10_100));
    outage.failed(Millis(10_500), WAIT, Millis(10_600));
    assert!(outage.lapses(RENEWAL, Millis(13_100)));
    outage.ended();
    assert!(!outage.lapses(RENEWAL, Millis(13_100)));
}

#[test]
fn a_call_that_was_never_heard_began_the_outage() {
    let mut outage = Outage::default();
    outage.failed(Millis(10_000), WAIT, Millis(13_000));
    assert!(outage.lapses(RENEWAL, Millis(13_000)));
}
