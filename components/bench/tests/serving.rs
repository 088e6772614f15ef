//! Checks the simulation itself: the same seed gives the same results, and latencies and throughput
//! are within what the fake upstreams can do.

use bench::{Demand, Policy, Scenario, Slowdown, Spread, serve};
use clock::Millis;

fn demand(scenario: Scenario) -> Demand {
    Demand {
        scenario,
        rate: Demand::rate(scenario, 0.3, Demand::mean_us(None)),
        seconds: 2,
        long: None,
        only_long: false,
        slowdown: None,
        report_delay: Millis(1000),
    }
}

#[test]
fn a_seed_gives_the_same_run_again() {
    for policy in Policy::ALL {
        let first = serve(&demand(Scenario::Maalwerk), policy, 7);
        let second = serve(&demand(Scenario::Maalwerk), policy, 7);
        assert_eq!(first.short, second.short, "{}", policy.name());
        assert_eq!(first.hedges, second.hedges, "{}", policy.name());
    }
}

#[test]
fn no_answer_is_faster_than_its_fixed_work_nor_lost_at_a_low_load() {
    for policy in Policy::ALL {
        let results = serve(&demand(Scenario::Maalwerk), policy, 7);
        assert!(results.short.min() >= 9_990, "{}: {}", policy.name(), results.short.min());
        let expected = demand(Scenario::Maalwerk).rate * 9.0 * 2.0;
        let answered = results.short.len() as f64;
        assert!((0.9..1.1).contains(&(answered / expected)), "{}: {answered}", policy.name());
    }
}

#[test]
fn a_slowed_upstream_slows_a_policy_that_does_not_look() {
    let slowdown = Some(Slowdown { upstreams: 2, factor: 10 });
    let normal = serve(&demand(Scenario::Maalwerk), Policy::RoundRobin, 7);
    let slowed = Demand { slowdown, ..demand(Scenario::Maalwerk) };
    let slowed = serve(&slowed, Policy::RoundRobin, 7);
    assert!(slowed.short.value_at_quantile(0.95) > 2 * normal.short.value_at_quantile(0.95));
}

// Guards against attempts that leave their upstream twice: once as their response is under way, and
// once more as they are cancelled for the response of a hedge. The count of outstanding attempts
// then fell below zero, and policies that know it chose wrongly.
#[test]
fn an_attempt_that_is_cancelled_after_its_end_leaves_its_upstream_once() {
    let slowdown = Some(Slowdown { upstreams: 2, factor: 10 });
    let rate = Demand::rate(Scenario::Maalwerk, 0.7, Demand::mean_us(None));
    for policy in Policy::ALL {
        let slowed = Demand { rate, slowdown, seconds: 20, ..demand(Scenario::Maalwerk) };
        let results = serve(&slowed, policy, 1);
        assert!(results.short.len() > 1_000, "{}: {}", policy.name(), results.short.len());
    }
}

#[test]
fn a_spread_names_the_least_the_median_and_the_greatest() {
    let spread = Spread::of(vec![3.0, 1.0, 2.0, 9.0, 4.0]);
    assert_eq!(spread, Spread { min: 1.0, median: 3.0, max: 9.0 });
}
