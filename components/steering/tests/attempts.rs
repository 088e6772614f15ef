//! Request classes, hedging, the shared budget of extra attempts, and retries.

use clock::Millis;
use proptest::prelude::*;
use settings::Class;
use steering::class::Classes;
use steering::hedge::{BUDGET_MAX, Budget, Delay};
use steering::retry::{Attempt, Decision, Failure, decide};

#[test]
fn a_path_becomes_long_after_enough_long_requests() {
    let mut classes = Classes::new(Class::Short);
    classes.observe("/history/1", Millis(2000));
    assert_eq!(classes.class("/history/2"), Class::Short);
    for _ in 0..3 {
        classes.observe("/history/1?page=2", Millis(2000));
    }
    assert_eq!(classes.class("/history/2"), Class::Long);
    assert_eq!(classes.class("/status/2"), Class::Short);
}

#[test]
fn a_path_between_the_thresholds_keeps_its_class() {
    for configured in [Class::Short, Class::Long] {
        let mut classes = Classes::new(configured);
        for round in 0..100 {
            classes.observe("/page", Millis(if round % 2 == 0 { 300 } else { 450 }));
            assert_eq!(classes.class("/page"), configured);
        }
    }
}

#[test]
fn paths_invented_by_callers_use_bounded_memory() {
    let mut classes = Classes::new(Class::Short);
    for number in 0..5000 {
        for _ in 0..3 {
            classes.observe(&format!("/{number}"), Millis(2000));
        }
    }
    let long = (0..5000).filter(|n| classes.class(&format!("/{n}")) == Class::Long).count();
    assert_eq!(long, 1024);
}

#[test]
fn only_short_idempotent_requests_are_hedged_after_most_responses() {
    let mut delay = Delay::new();
    assert_eq!(delay.get(Class::Short, true), None);
    for round in 0..200 {
        delay.observe(Millis(if round % 10 == 0 { 100 } else { 20 }));
    }
    assert_eq!(delay.get(Class::Short, true), Some(Millis(100)));
    assert_eq!(delay.get(Class::Short, false), None);
    assert_eq!(delay.get(Class::Long, true), None);
}

/// A budget without tokens. Checks that a new budget allows exactly [`BUDGET_MAX`] extra attempts.
fn empty_budget(ratio: f64) -> Budget {
    let mut budget = Budget::new(ratio);
    let allowed = (0..2 * BUDGET_MAX).filter(|_| budget.spend()).count();
    assert_eq!(allowed, if ratio == 0.0 { 0 } else { BUDGET_MAX as usize });
    budget
}

#[test]
fn a_ratio_of_zero_allows_no_extra_attempt() {
    let mut budget = empty_budget(0.0);
    budget.earn();
    assert!(!budget.spend());
    let mut budget = Budget::new(0.5);
    budget.set_ratio(0.0);
    assert!(!budget.spend());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn extra_attempts_stay_below_the_ratio(
        ratio in 0.0f64..0.5,
        steps in proptest::collection::vec(any::<bool>(), 1..2000),
    ) {
        let mut budget = empty_budget(ratio);
        let mut first = 0u32;
        let mut extra = 0u32;
        for wants_first in steps {
            if wants_first {
                budget.earn();
                first += 1;
            } else if budget.spend() {
                extra += 1;
            }
            prop_assert!(f64::from(extra) <= f64::from(first) * ratio + 1e-6);
        }
    }

    #[test]
    fn a_non_idempotent_request_is_retried_only_if_it_was_not_sent(
        failure in prop_oneof![Just(Failure::NotSent), Just(Failure::Shed), Just(Failure::Broken)],
        idempotent: bool,
        attempts in 1u32..6,
        deadline in 0u64..2000,
        earned in 0u32..3,
    ) {
        let mut budget = empty_budget(1.0);
        (0..earned).for_each(|_| budget.earn());
        let (deadline, typical_latency) = (Millis(deadline), Millis(20));
        let attempt = Attempt { failure, idempotent, attempts, deadline, typical_latency };
        let retried = decide(attempt, &mut budget, Millis(1000)) == Decision::Retry;
        let may_run_twice = failure != Failure::NotSent;
        let allowed = (idempotent || !may_run_twice)
            && attempts < 3
            && deadline > Millis(1020)
            && (earned > 0 || !may_run_twice);
        prop_assert_eq!(retried, allowed);
    }
}
