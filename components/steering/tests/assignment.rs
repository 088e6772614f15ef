//! Regions get load by their slots from the first request on, and shares move at a bounded rate.

use clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;
use steering::assignment::{Region, Shares};

/// The deployment's bound on the part of a region's requests that moves between two windows.
const MAX_SHIFT: f64 = 0.15;
const WINDOW: Millis = Millis(2_000);
const NAMES: [&str; 3] = ["a", "b", "c"];

fn regions(slots: [f64; 3], demand: [f64; 3]) -> Vec<Region> {
    let each = |index: usize| Region {
        name: NAMES[index].into(),
        slots: slots[index],
        demand: demand[index],
    };
    (0..3).map(each).collect()
}

fn shares(own: &str, slots: [f64; 3], demand: [f64; 3]) -> Shares {
    let mut shares = Shares::new(own.into(), MAX_SHIFT);
    shares.set_target(&regions(slots, demand), Millis::ZERO);
    shares
}

fn share(shares: &Shares, region: &str, now: Millis) -> f64 {
    let shares = shares.current(now);
    shares.iter().find(|(name, _)| **name == *region).map_or(0.0, |(_, share)| *share)
}

fn region(shares: &Shares, object: u64, now: Millis) -> Arc<str> {
    shares.region(object, |_| true, now).unwrap()
}

/// Seen in a large fleet: a region with a tenth of the slots and a third of the callers refused two
/// thirds of its requests for the first quarter of a day.
#[test]
fn no_region_gets_more_than_its_part_of_the_slots_from_the_start() {
    let slots = [945.0, 189.0, 810.0];
    let total: f64 = slots.iter().sum();
    for (index, region) in NAMES.iter().enumerate() {
        let load: f64 = NAMES
            .iter()
            .map(|own| share(&shares(own, slots, [1.0; 3]), region, Millis::ZERO))
            .sum();
        assert!((load / 3.0 - slots[index] / total).abs() < 1e-9, "{region}: {load}");
    }
}

#[test]
fn a_region_with_enough_slots_keeps_all_its_requests() {
    let shares = shares("a", [6.0, 2.0, 4.0], [1.0; 3]);
    assert!((0..1_000).all(|object| *region(&shares, object, Millis::ZERO) == *"a"));
}

#[test]
fn objects_go_to_regions_by_their_shares_and_all_vms_agree() {
    let (shares, other) =
        (shares("b", [6.0, 2.0, 4.0], [1.0; 3]), shares("b", [6.0, 2.0, 4.0], [1.0; 3]));
    let assigned: Vec<Arc<str>> =
        (0..4_000).map(|object| region(&shares, object, WINDOW)).collect();
    assert!(
        (0..4_000).all(|object| assigned[object as usize] == region(&other, object, Millis::ZERO))
    );
    for (name, share) in shares.current(Millis::ZERO) {
        let part = assigned.iter().filter(|region| **region == name).count() as f64 / 4_000.0;
        assert!((part - share).abs() < 0.03, "{name}: {part} of {share}");
    }
}

#[test]
fn only_allowed_regions_are_used() {
    let shares = shares("b", [6.0, 2.0, 4.0], [1.0; 3]);
    let assigned = |allowed: &'static [&'static str]| {
        (0..500)
            .map(|object| shares.region(object, |name| allowed.contains(&name), Millis::ZERO))
            .collect::<Vec<_>>()
    };
    assert!(assigned(&["c", "b"]).iter().all(|region| region.as_deref() != Some("a")));
    assert!(assigned(&["c"]).iter().all(|region| region.as_deref() == Some("c")));
    assert!(assigned(&[]).iter().all(Option::is_none));
}

#[test]
fn a_region_without_upstreams_assigns_all_objects_elsewhere() {
    let shares = shares("b", [6.0, 0.0, 3.0], [1.0; 3]);
    assert_eq!(share(&shares, "b", Millis::ZERO), 0.0);
    assert!((0..500).all(|object| *region(&shares, object, Millis::ZERO) != *"b"));
}

#[test]
fn without_any_upstream_there_is_no_region() {
    assert_eq!(shares("b", [0.0; 3], [1.0; 3]).region(1, |_| true, Millis::ZERO), None);
}

/// Seen at a start: upstreams registered one after the other, those of one region first, and
/// traffic began seconds later. The shares left the first state at only 2 in 100 a second.
#[test]
fn without_traffic_new_shares_apply_at_once() {
    let mut shares = shares("a", [0.0, 2.0, 0.0], [1.0; 3]);
    shares.set_target(&regions([6.0, 2.0, 4.0], [1.0; 3]), Millis(500));
    assert_eq!(share(&shares, "a", Millis(600)), 1.0);
    region(&shares, 1, Millis(8_000));
    shares.set_target(&regions([0.0, 2.0, 4.0], [1.0; 3]), Millis(8_500));
    assert!(share(&shares, "a", Millis(8_600)) > 0.9, "with traffic they move slowly");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn however_capacity_and_demand_change_few_objects_move_between_windows(
        changes in proptest::collection::vec(
            (
                (0.0f64..50.0, 0.1f64..50.0, 0.0f64..50.0),
                (0.1f64..3.0, 0.1f64..3.0, 0.1f64..3.0),
                1u64..6_000,
            ),
            1..12,
        ),
    ) {
        let mut shares = shares("b", [6.0, 2.0, 4.0], [1.0; 3]);
        let mut before: Vec<Arc<str>> =
            (0..600).map(|object| region(&shares, object, Millis::ZERO)).collect();
        let mut now = Millis::ZERO;
        for ((a, b, c), (x, y, z), wait) in changes {
            shares.set_target(&regions([a, b, c], [x, y, z]), now);
            let end = now + Millis(wait);
            while now < end {
                now = now + WINDOW;
                let after: Vec<Arc<str>> =
                    (0..600).map(|object| region(&shares, object, now)).collect();
                let moved = before.iter().zip(&after).filter(|(old, new)| old != new).count();
                prop_assert!(moved as f64 / 600.0 <= MAX_SHIFT, "{moved} of 600");
                before = after;
            }
        }
    }
}
