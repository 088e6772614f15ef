//! Invariants of the control plane under random schedules of faults.

use clock::Millis;
use control::fake::Cluster;
use control::fake::invariants::{self, Commits};
use operator::Api;
use operator::wire::{Apply, UsePreset};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::sync::Arc;
use store::fake::Fault;
use tokio::runtime::Builder;

const VMS: usize = 6;
const CASES: u32 = 24;
const SEED: [u8; 32] = [11; 32];

/// A change or fault that is applied to the fleet.
#[derive(Clone, Debug)]
enum Event {
    Preset { at: usize, peak: bool, lag: u64 },
    LoseResponse,
    LoseRequest,
    TableDown,
    Down,
    Cut { vm: usize },
    Repair,
    PartitionRegion { region: u16 },
    Heal,
    Pause { vm: usize },
    Resume,
    Replace { vm: usize },
    RestartAgent { vm: usize },
    Loss { percent: u8 },
}

fn event() -> impl Strategy<Value = Event> {
    let vm = 0..VMS;
    prop_oneof![
        4 => (vm.clone(), any::<bool>(), 0..3u64)
            .prop_map(|(at, peak, lag)| Event::Preset { at, peak, lag }),
        1 => Just(Event::LoseResponse),
        1 => Just(Event::LoseRequest),
        1 => Just(Event::TableDown),
        1 => Just(Event::Down),
        1 => vm.clone().prop_map(|vm| Event::Cut { vm }),
        2 => Just(Event::Repair),
        1 => (0..3u16).prop_map(|region| Event::PartitionRegion { region }),
        2 => Just(Event::Heal),
        1 => vm.clone().prop_map(|vm| Event::Pause { vm }),
        2 => Just(Event::Resume),
        1 => vm.clone().prop_map(|vm| Event::Replace { vm }),
        1 => vm.prop_map(|vm| Event::RestartAgent { vm }),
        1 => (0..20u8).prop_map(|percent| Event::Loss { percent }),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<(u64, Event)>> {
    prop::collection::vec((0..6_000u64, event()), 4..14)
}

fn apply(cluster: &mut Cluster, event: Event, operation: usize) {
    match event {
        Event::Preset { at, peak, lag } => use_preset(cluster, at, peak, lag, operation),
        Event::LoseResponse => cluster.platform.inject(Fault::LoseAnswers(1)),
        Event::LoseRequest => cluster.platform.inject(Fault::LoseRequests(1)),
        Event::TableDown => cluster.platform.inject(Fault::TableDown),
        Event::Down => cluster.platform.inject(Fault::Down),
        Event::Cut { vm } => {
            cluster.platform.inject(Fault::Cut(steering::sample::vm(vm).name));
        }
        Event::Repair => cluster.platform.clear_faults(),
        Event::PartitionRegion { region } => {
            cluster.partition(|vm| steering::sample::region_of_vm(vm) == region);
        }
        Event::Heal => cluster.network.heal(),
        Event::Pause { vm } => cluster.pause(vm),
        Event::Resume => (0..VMS).for_each(|vm| cluster.resume(vm)),
        Event::Replace { vm } => {
            cluster.kill(vm);
            cluster.start(vm);
        }
        Event::RestartAgent { vm } => cluster.restart_agent(vm),
        Event::Loss { percent } => cluster.network.set_loss(f64::from(percent) / 100.0),
    }
}

/// An operator's change, based on a version that may be outdated by `lag` versions.
fn use_preset(cluster: &Cluster, at: usize, peak: bool, lag: u64, operation: usize) {
    let Some(agent) = cluster.agent(at) else { return };
    let expected = agent.stamp().version.saturating_sub(lag);
    let preset = if peak { "peak" } else { "ordinary" }.into();
    let operation = format!("operation-{operation}").into();
    tokio::spawn(async move { agent.use_preset(UsePreset { expected, operation, preset }).await });
}

async fn play(schedule: Vec<(u64, Event)>, seed: u64) -> Vec<String> {
    let mut cluster = Cluster::new(VMS, seed);
    let commits = Commits::watch(Arc::clone(&cluster.platform), cluster.clock);
    cluster.start_all();
    let source = settings::write(&cluster.declaration());
    let agent = cluster.agent(0).expect("a running agent");
    let first = Apply { expected: 0, operation: "first".into(), source };
    agent.apply(first).await.expect("an empty table takes the first configuration");
    for (operation, (pause, event)) in schedule.into_iter().enumerate() {
        cluster.clock.sleep(Millis(pause)).await;
        apply(&mut cluster, event, operation);
    }
    cluster.platform.clear_faults();
    cluster.network.heal();
    cluster.network.set_loss(0.0);
    (0..VMS).for_each(|vm| cluster.resume(vm));
    cluster.clock.sleep(Millis(40_000)).await;
    let mut violations = invariants::violations(&cluster, &commits);
    let held_versions = invariants::held_versions(&cluster);
    if held_versions.len() != 1 {
        violations.push(format!(
            "the fleet didn't converge within 40 s after the faults ended: {held_versions:?}"
        ));
    }
    violations
}

#[test]
fn versions_never_fall_and_every_version_and_plan_is_the_one_committed() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, random);
    let outcome = runner.run(&(schedule(), any::<u64>()), |(schedule, seed)| {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        let runtime = runtime.expect("a runtime without I/O");
        let violations = runtime.block_on(play(schedule, seed));
        prop_assert!(violations.is_empty(), "{violations:?}");
        Ok(())
    });
    if let Err(failure) = outcome {
        panic!("{failure}");
    }
}
