//! Tests with random schedules of faults that an order runs at most once.

#[allow(dead_code, reason = "each test file uses a part of the world")]
mod world;

use clock::Millis;
use entry::fake::Mode;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use settings::{Class, Drain, Target};
use std::sync::Arc;
use steering::State;
use upstream::fake::Fault;
use world::{Call, Setup, World};

/// Random schedules per test; the eight tests run 100,000 in total.
const SCHEDULES: u32 = 12_500;
const ENTRIES: [&str; 3] = ["e1", "e2", "e3"];
const IDS: usize = 4;
/// Blocks whose look-ups return `e1` and `e2` first.
const BLOCK_OF_E1: u32 = 0;
const BLOCK_OF_E2: u32 = 8;
/// Load queries and shifts are disabled by long intervals.
const SETUP: Setup = Setup {
    poll_interval: Millis::from_secs(3600),
    tick_interval: Millis::from_secs(3600),
    services: &[("orders", Class::Short)],
    upstreams: UPSTREAMS,
};
const UPSTREAMS: u16 = 6;
const SETTLE_TIME: Millis = Millis::from_secs(12);

#[derive(Clone, Debug)]
struct Step {
    delay_ms: u64,
    action: Action,
}

#[derive(Clone, Debug)]
enum Action {
    Order { via: usize, id: usize, budget_ms: u64 },
    Disconnect,
    SetMode { entry: usize, mode: Mode },
    Restart { entry: usize },
    Stop { entry: usize },
    SetVmState { entry: usize, state: State },
    PlatformFault(store::fake::Fault),
    RepairPlatform,
    Partition { on: bool },
    DropOutcomes,
    UpstreamFault(Fault),
    UpstreamDown { upstream: u16, down: bool },
    UpstreamState { upstream: u16, state: State },
    Drain { duration_ms: u64 },
}

fn action() -> impl Strategy<Value = Action> {
    let entry = 0..ENTRIES.len();
    prop_oneof![
        6 => (entry.clone(), 0..IDS, prop_oneof![Just(5000), 5..60u64])
            .prop_map(|(via, id, budget_ms)| Action::Order { via, id, budget_ms }),
        1 => Just(Action::Disconnect),
        2 => (entry.clone(), prop_oneof![Just(Mode::Paused), Just(Mode::Running)])
            .prop_map(|(entry, mode)| Action::SetMode { entry, mode }),
        1 => entry.clone().prop_map(|entry| Action::SetMode { entry, mode: Mode::Killed }),
        1 => entry.clone().prop_map(|entry| Action::Restart { entry }),
        1 => entry.clone().prop_map(|entry| Action::Stop { entry }),
        1 => (entry, prop_oneof![Just(State::Suspect), Just(State::Live)])
            .prop_map(|(entry, state)| Action::SetVmState { entry, state }),
        3 => platform_fault().prop_map(Action::PlatformFault),
        1 => Just(Action::RepairPlatform),
        1 => any::<bool>().prop_map(|on| Action::Partition { on }),
        1 => Just(Action::DropOutcomes),
        4 => upstream_fault().prop_map(Action::UpstreamFault),
        1 => (1..=UPSTREAMS, any::<bool>())
            .prop_map(|(upstream, down)| Action::UpstreamDown { upstream, down }),
        1 => (1..=UPSTREAMS, prop_oneof![Just(State::Leaving), Just(State::Live)])
            .prop_map(|(upstream, state)| Action::UpstreamState { upstream, state }),
        1 => (1..3_000u64).prop_map(|duration_ms| Action::Drain { duration_ms }),
    ]
}

fn platform_fault() -> impl Strategy<Value = store::fake::Fault> {
    use store::fake::Fault;
    prop_oneof![
        Just(Fault::TableDown),
        (5..40u64).prop_map(|duration_ms| Fault::Slow(Millis(duration_ms))),
        (1..3u32).prop_map(Fault::LoseAnswers),
        (1..3u32).prop_map(Fault::LoseRequests),
        Just(Fault::Cut("e1".into())),
    ]
}

fn upstream_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Refuse),
        Just(Fault::CloseBefore),
        Just(Fault::CloseAfter),
        Just(Fault::Shed),
        Just(Fault::RunThenShed),
        (5..80u64).prop_map(|duration_ms| Fault::Late(Millis(duration_ms))),
        Just(Fault::DieHalfway),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..15u64, action()).prop_map(|(delay_ms, action)| Step { delay_ms, action });
    prop::collection::vec(step, 3..14)
}

async fn play(steps: Vec<Step>) -> Result<(), String> {
    let mut world = World::new(&SETUP).await;
    let ids = ids(&world)?;
    for (number, step) in steps.into_iter().enumerate() {
        world.clock.sleep(Millis(step.delay_ms)).await;
        apply(&mut world, &ids, number, step.action);
    }
    finish(&mut world, &ids).await;
    world.check()
}

// Two ids that are claimed in the table and two that name their owner.
fn ids(world: &World) -> Result<Vec<Arc<str>>, String> {
    let owned = |block| world.prefix("e1", block).map(|prefix| Arc::from(format!("{prefix}~x")));
    Ok(vec!["plain-1".into(), "plain-2".into(), owned(BLOCK_OF_E1)?, owned(BLOCK_OF_E2)?])
}

fn apply(world: &mut World, ids: &[Arc<str>], number: usize, action: Action) {
    match action {
        Action::Order { via, id, budget_ms } => {
            world.send(order(format!("r{number}"), via, &ids[id], budget_ms));
        }
        Action::Disconnect => {
            if let Some((_, request)) = world.calls.pop_last() {
                request.abort();
            }
        }
        Action::SetMode { entry, mode } => world.set_mode(ENTRIES[entry], mode),
        Action::Restart { entry } => world.start(ENTRIES[entry], 2 + number as u64),
        Action::Stop { entry } => world.stop(ENTRIES[entry]),
        Action::SetVmState { entry, state } => world.set_vm_state(ENTRIES[entry], state),
        Action::PlatformFault(fault) => world.platform.inject(fault),
        Action::RepairPlatform => world.platform.clear_faults(),
        Action::Partition { on } => world.relays.set_partitioned(on),
        Action::DropOutcomes => world.relays.drop_outcomes(1),
        Action::UpstreamFault(fault) => world.fleet.inject(fault),
        Action::UpstreamDown { upstream, down } => {
            world.fake_upstream(&format!("o{upstream}")).set_down(down)
        }
        Action::Drain { duration_ms } => {
            let start = world.clock.now();
            let target = Target::Domain("nord-0".into());
            let end = start + Millis(duration_ms);
            world.plan_drain(Drain { name: "drain".into(), target, start, end });
        }
        Action::UpstreamState { upstream, state } => {
            world.set_upstream_state(&format!("o{upstream}"), state)
        }
    }
}

// Ends all faults and retries every order at every entry VM, so that a second run would show.
async fn finish(world: &mut World, ids: &[Arc<str>]) {
    world.platform.clear_faults();
    world.relays.set_partitioned(false);
    for name in ENTRIES {
        world.set_mode(name, Mode::Running);
    }
    world.clock.sleep(SETTLE_TIME).await;
    for via in 0..ENTRIES.len() {
        for (number, id) in ids.iter().enumerate() {
            world.send(order(format!("last-{via}-{number}"), via, id, 5000));
        }
    }
    world.clock.sleep(SETTLE_TIME).await;
}

fn order(name: String, via: usize, id: &Arc<str>, budget_ms: u64) -> Call {
    Call {
        name,
        via: ENTRIES[via].into(),
        service: "orders".into(),
        path: "/place".into(),
        block: 0,
        order: Some(Arc::clone(id)),
        budget: Some(Millis(budget_ms)),
    }
}

fn run(seed: u8) {
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::XorShift, &[seed; 16]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&schedule(), |steps| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        runtime.block_on(play(steps)).map_err(TestCaseError::fail)
    });
    if let Err(error) = result {
        panic!("seed {seed}: {error}");
    }
}

#[test]
fn an_order_runs_at_most_once_seed_1() {
    run(1);
}

#[test]
fn an_order_runs_at_most_once_seed_2() {
    run(2);
}

#[test]
fn an_order_runs_at_most_once_seed_3() {
    run(3);
}

#[test]
fn an_order_runs_at_most_once_seed_4() {
    run(4);
}

#[test]
fn an_order_runs_at_most_once_seed_5() {
    run(5);
}

#[test]
fn an_order_runs_at_most_once_seed_6() {
    run(6);
}

#[test]
fn an_order_runs_at_most_once_seed_7() {
    run(7);
}

#[test]
fn an_order_runs_at_most_once_seed_8() {
    run(8);
}
