//! The experiments' own soundness: determinism, and figures within what the fakes can do.

use bench::{Demand, Policy, Scene, Slowdown, Spread, serve};
use clock::Millis;

fn demand(scene: Scene) -> Demand {
    Demand {
        scene,
        rate: Demand::rate(scene, 0.3, Demand::mean_us(None)),
        seconds: 2,
        long: None,
        only_long: false,
        slowdown: None,
        report_lag: Millis(1000),
    }
}

#[test]
fn a_seed_gives_the_same_run_again() {
    for policy in Policy::ALL {
        let one = serve(&demand(Scene::Maalwerk), policy, 7);
        let other = serve(&demand(Scene::Maalwerk), policy, 7);
        assert_eq!(one.short, other.short, "{}", policy.name());
        assert_eq!(one.extra, other.extra, "{}", policy.name());
    }
}

#[test]
fn no_answer_is_faster_than_its_fixed_work_nor_lost_at_a_low_load() {
    for policy in Policy::ALL {
        let served = serve(&demand(Scene::Maalwerk), policy, 7);
        assert!(served.short.min() >= 9_990, "{}: {}", policy.name(), served.short.min());
        let expected = demand(Scene::Maalwerk).rate * 9.0 * 2.0;
        let answered = served.short.len() as f64;
        assert!((0.9..1.1).contains(&(answered / expected)), "{}: {answered}", policy.name());
    }
}

#[test]
fn a_slowed_upstream_slows_a_policy_that_does_not_look() {
    let slowdown = Some(Slowdown { servers: 2, factor: 10 });
    let calm = serve(&demand(Scene::Maalwerk), Policy::RoundRobin, 7);
    let slowed = Demand { slowdown, ..demand(Scene::Maalwerk) };
    let slowed = serve(&slowed, Policy::RoundRobin, 7);
    assert!(slowed.short.value_at_quantile(0.95) > 2 * calm.short.value_at_quantile(0.95));
}

#[test]
fn a_spread_names_the_least_the_median_and_the_greatest() {
    let spread = Spread::of(vec![3.0, 1.0, 2.0, 9.0, 4.0]);
    assert_eq!(spread, Spread { min: 1.0, median: 3.0, max: 9.0 });
}
