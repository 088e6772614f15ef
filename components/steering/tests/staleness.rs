//! What a heartbeat's claim means for a copy.

use clock::Millis;
use steering::staleness::{Claim, Limits, Standing};

const AGE: Millis = Millis(300);

fn claim(newest: u64, complete_after: u64) -> Claim {
    Claim { newest, complete_after, age: Some(AGE) }
}

#[test]
fn a_copy_with_all_changes_of_the_sender_is_as_old_as_the_senders_when_it_made_the_claim() {
    for revision in [10, 15] {
        let standing = claim(10, 4).standing(Some(revision));
        assert_eq!(standing, Standing::Confirmed(AGE));
    }
    let unconfirmed = Claim { age: None, ..claim(10, 4) };
    assert_eq!(unconfirmed.standing(Some(10)), Standing::Unknown);
}

/// Guards against confirmations by a VM that can't know: one that has just started has all rows of
/// the store, but doesn't know of removals before, and confirmed copies that lacked them.
#[test]
fn a_vm_that_started_after_a_copy_does_not_confirm_it() {
    assert_eq!(claim(8, 12).standing(Some(10)), Standing::Unknown);
    assert_eq!(claim(8, 12).standing(Some(12)), Standing::Confirmed(AGE));
}

#[test]
fn a_copy_that_lacks_a_change_is_behind_and_knows_whether_a_difference_can_be_had() {
    assert_eq!(claim(10, 4).standing(Some(9)), Standing::Behind { full: false });
    assert_eq!(claim(10, 9).standing(Some(8)), Standing::Behind { full: true });
    assert_eq!(claim(10, 4).standing(None), Standing::Behind { full: true });
    assert_eq!(claim(0, u64::MAX).standing(None), Standing::Unknown);
}

/// The steps from the store's acknowledgement to the last request of the slowest VM, each at the
/// longest that the users' pages and our time-outs allow, for their deployments' bounds and
/// latencies (drain bound, one way between regions). None depends on the number of VMs.
#[test]
fn the_steps_of_the_slowest_vm_fit_into_the_drain_bound() {
    const LATE_TIMER: u64 = 20;
    const SILENT_CONNECTION: u64 = 500;
    const STORE_RESPONSE: u64 = 4;
    for (bound, latency) in [(4_000, 59), (3_000, 17), (2_500, 59), (2_000, 17)] {
        let limits = Limits::new(Millis(bound));
        let connect_and_read = 4 * latency + STORE_RESPONSE;
        let on_the_way_to_the_upstream = latency;
        let sum = limits.read.0
            + LATE_TIMER
            + SILENT_CONNECTION
            + connect_and_read
            + on_the_way_to_the_upstream;
        assert!(sum + 200 <= bound, "{sum} of {bound} ms");
    }
}
