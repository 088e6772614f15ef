//! When a VM that has started knows enough VMs to answer look-ups.

use clock::Millis;
use steering::convergence::Convergence;

const START: Millis = Millis(50_000);

fn after(span: u64) -> Millis {
    START + Millis(span)
}

/// Guards against look-ups that name a handful of VMs: a VM that had just started answered from
/// those that it had heard of by then.
#[test]
fn a_vm_has_converged_once_it_knows_what_a_peer_knows() {
    let mut view = Convergence::new(START);
    assert!(!view.judge(1, after(0)));
    assert!(view.record_peer(90, 4, after(10)));
    assert!(!view.judge(4, after(10)));
    assert!(view.judge(90, after(30)));
}

#[test]
fn a_lost_datagram_does_not_hold_a_vm_up() {
    let mut view = Convergence::new(START);
    view.record_peer(90, 1, after(10));
    assert!(!view.judge(72, after(30)));
    assert!(view.judge(82, after(40)));
}

/// Guards against callers without any entry VM: after all VMs were killed, there is none that could
/// tell the others what it knows.
#[test]
fn without_a_converged_peer_a_vm_waits_for_a_second() {
    let mut view = Convergence::new(START);
    assert!(!view.judge(40, after(900)));
    assert!(view.judge(1, after(1_000)));
}

/// Guards against VMs that refuse look-ups for good: most of the VMs that a peer counted as alive
/// had died.
#[test]
fn a_vm_goes_by_what_it_knows_after_three_seconds() {
    let mut view = Convergence::new(START);
    view.record_peer(90, 1, after(10));
    assert!(!view.judge(20, after(2_900)));
    assert!(view.judge(20, after(3_000)));
}

#[test]
fn a_view_that_has_converged_stays_so() {
    let mut view = Convergence::new(START);
    view.record_peer(3, 3, after(10));
    assert!(view.judge(3, after(10)));
    view.record_peer(90, 3, after(20));
    assert!(view.judge(1, after(5_000)));
}

#[test]
fn a_vm_that_has_started_asks_a_few_times_a_second() {
    let mut view = Convergence::new(START);
    assert!(view.record_peer(90, 1, after(10)));
    assert!(!view.record_peer(90, 1, after(110)));
    assert!(view.record_peer(90, 40, after(310)));
    assert!(!view.record_peer(90, 85, after(1_000)));
}

/// Guards against links full of heartbeats: after the death of many VMs, those that had noticed it
/// requested from each peer that had not all VMs that it knew, and learnt nothing.
#[test]
fn a_vm_that_has_converged_asks_at_long_intervals() {
    let mut view = Convergence::new(START);
    assert!(view.judge(90, after(1_000)));
    let requested = (0..30).filter(|at| view.record_peer(90, 60, after(10_000 + at * 100))).count();
    assert_eq!(requested, 1);
    assert!(view.record_peer(90, 60, after(13_000)));
}

/// Guards against views of a few VMs that spread: after all VMs were killed, one that had answered
/// by what it knew after a second was taken as the measure by those that started later.
#[test]
fn a_view_that_converged_without_a_peer_is_no_reference_at_first() {
    let mut alone = Convergence::new(START);
    assert!(alone.judge(3, after(1_000)));
    assert!(!alone.is_reference(after(2_900)));
    assert!(alone.is_reference(after(3_000)));
    let mut informed = Convergence::new(START);
    informed.record_peer(90, 1, after(10));
    assert!(!informed.is_reference(after(20)));
    assert!(informed.judge(90, after(30)) && informed.is_reference(after(30)));
}
