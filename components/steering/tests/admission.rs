//! One VM's admission keeps the VM's limits under random shifts, outages and loads.

use clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::sync::Arc;
use steering::admission::{Admission, Reason};
use steering::sample::{self, Size};
use steering::{Index, Regions, SHARE_SCALE, Segment, Snapshot, Split, Stamp};

const VM: &str = "vm-0000";
const DOMAIN: &str = "nord-0";
/// The VM's limits into each region, in requests a second.
const SHIFT_LIMIT: usize = 11;
const REQUEST_LIMIT: usize = 100;
const TICK_MS: u64 = 100;
const SECOND_MS: u64 = 1000;

/// The events of one tick.
#[derive(Clone, Debug)]
struct Tick {
    arrivals: u32,
    /// The region that is down.
    down: Option<u16>,
    /// The target of a new shift.
    weights: Option<[u32; 3]>,
}

fn tick() -> impl Strategy<Value = Tick> {
    let down = prop_oneof![9 => Just(None), 1 => (0u16..3).prop_map(Some)];
    let weights = prop_oneof![
        19 => Just(None),
        1 => prop::array::uniform3(1u32..10).prop_map(Some)
    ];
    (0u32..60, down, weights).prop_map(|(arrivals, down, weights)| Tick { arrivals, down, weights })
}

/// A snapshot whose plan shifts traffic from the last plan's target to `weights`.
fn shift(snapshot: &Snapshot, weights: [u32; 3]) -> Snapshot {
    let sum: u32 = weights.iter().sum();
    let row = weights.map(|weight| SHARE_SCALE / sum * weight).to_vec();
    let mut next = snapshot.clone();
    next.plan.sequence += 1;
    next.plan.shift += 1;
    next.plan.settled = 0;
    next.plan.from = vec![Segment { until: SHARE_SCALE, split: snapshot.plan.to.clone() }];
    next.plan.to = Split { rows: vec![row; 3] };
    next
}

/// The most of `times`, in milliseconds, in any window of one second.
fn most_in_a_second(times: &[u64]) -> usize {
    let within =
        |at: &u64| times.iter().filter(|time| (*at..at + SECOND_MS).contains(*time)).count();
    times.iter().map(within).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::with_cases(64)
    })]

    #[test]
    fn a_vm_never_exceeds_its_own_limits(ticks in prop::collection::vec(tick(), 50..300)) {
        let mut snapshot = sample::snapshot(Size::TODAY);
        let mut index = Index::new(Arc::new(snapshot.clone()));
        let mut admission = Admission::new(&index, VM.into(), DOMAIN.into(), Millis::ZERO);
        let mut down = Regions::NONE;
        let mut sent = vec![Vec::new(); 3];
        let mut moved = vec![Vec::new(); 3];
        let mut block = 0;
        for (number, tick) in ticks.iter().enumerate() {
            let now = SECOND_MS + number as u64 * TICK_MS;
            if let Some(weights) = tick.weights {
                snapshot = shift(&snapshot, weights);
                index = Index::new(Arc::new(snapshot.clone()));
            }
            if number % 10 == 0 {
                down = tick.down.map_or(Regions::NONE, |region| Regions::NONE.with(region));
            }
            admission.tick(&index, down, Millis(now));
            for _ in 0..tick.arrivals {
                block = (block + 7) % 1200;
                let home = (block % 3) as u16;
                let Ok(admitted) = admission.admit(home, block, block * 977, Millis(now)) else {
                    continue;
                };
                prop_assert!(!down.contains(admitted.region), "admitted into a down region");
                sent[usize::from(admitted.region)].push(now);
                if admitted.reason == Reason::Moved {
                    moved[usize::from(admitted.region)].push(now);
                }
            }
        }
        prop_assert!(sent.iter().all(|times| most_in_a_second(times) <= REQUEST_LIMIT));
        prop_assert!(moved.iter().all(|times| most_in_a_second(times) <= SHIFT_LIMIT));
        let stamp = Stamp { epoch: 1, sequence: snapshot.plan.sequence };
        prop_assert_eq!(admission.ack().stamp, stamp);
    }
}

#[test]
fn a_vm_admits_nothing_in_its_first_second() {
    let index = Index::new(Arc::new(sample::snapshot(Size::TODAY)));
    let started = Millis(5000);
    let mut admission = Admission::new(&index, VM.into(), DOMAIN.into(), started);
    assert!(admission.admit(0, 0, 0, started + Millis(999)).is_err());
    assert!(admission.admit(0, 0, 0, started + Millis(1000)).is_ok());
}
