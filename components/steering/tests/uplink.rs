//! The large changes that a VM sends to its peers at a time.

use clock::Millis;
use steering::uplink::Uplink;

const BYTES: usize = 90_000;
const SLOW_MBPS: u32 = 10;
const FAST_MBPS: u32 = 200;
const PEERS: usize = 30;

fn admitted(uplink: &mut Uplink, mbps: u32, now: Millis) -> usize {
    (0..PEERS).filter(|_| uplink.admit(BYTES, mbps, now)).count()
}

/// Guards against changes that reach no peer in time, as all peers fetch them from one VM at once.
#[test]
fn transfers_that_begin_at_once_can_end_within_300_ms() {
    let mut uplink = Uplink::default();
    let count = admitted(&mut uplink, SLOW_MBPS, Millis(1_000));
    let bits = (count * BYTES * 8) as u64;
    assert!(count >= 1);
    assert!(bits <= u64::from(SLOW_MBPS) * 1_000 * 300, "{count} transfers");
}

/// Guards against a VM that refuses all transfers after the first ones.
#[test]
fn transfers_are_admitted_again_when_the_earlier_ones_can_have_ended() {
    let mut uplink = Uplink::default();
    let first = admitted(&mut uplink, SLOW_MBPS, Millis(1_000));
    assert_eq!(admitted(&mut uplink, SLOW_MBPS, Millis(1_300)), first);
}

/// Guards against a limit that keeps a fast link idle.
#[test]
fn a_fast_link_admits_a_whole_region() {
    assert_eq!(admitted(&mut Uplink::default(), FAST_MBPS, Millis(1_000)), PEERS);
}

/// Guards against changes that are never sent, as one transfer takes longer than the limit.
#[test]
fn a_single_transfer_may_have_any_size() {
    let mut uplink = Uplink::default();
    assert!(uplink.admit(1_000 * BYTES, SLOW_MBPS, Millis(1_000)));
    assert!(!uplink.admit(BYTES, SLOW_MBPS, Millis(1_300)));
}
