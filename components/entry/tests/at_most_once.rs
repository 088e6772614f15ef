//! Random schedules of faults against the promise that an order runs at most once.

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
use world::{Ask, Setup, World};

/// Schedules of one test; eight tests make the hundred thousand.
const SCHEDULES: u32 = 12_500;
const ENTRIES: [&str; 3] = ["e1", "e2", "e3"];
const IDS: usize = 4;
/// Blocks whose look-ups name `e1` and `e2` first.
const BLOCK_OF_E1: u32 = 0;
const BLOCK_OF_E2: u32 = 8;
/// Load reports and shifts play no part here.
const SETUP: Setup = Setup {
    poll: Millis::from_secs(3600),
    tick: Millis::from_secs(3600),
    services: &[("orders", Class::Short)],
    upstreams: UPSTREAMS,
};
const UPSTREAMS: u16 = 6;
const SETTLE: Millis = Millis::from_secs(12);

#[derive(Clone, Debug)]
struct Step {
    gap: u64,
    act: Act,
}

#[derive(Clone, Debug)]
enum Act {
    Order { via: usize, id: usize, budget: u64 },
    Gone,
    Set { entry: usize, mode: Mode },
    Restart { entry: usize },
    Stop { entry: usize },
    Vm { entry: usize, state: State },
    Platform(store::fake::Fault),
    Mend,
    Partition { on: bool },
    LoseOutcomes,
    Upstream(Fault),
    Down { upstream: u16, down: bool },
    Listed { upstream: u16, state: State },
    Drain { span: u64 },
}

fn act() -> impl Strategy<Value = Act> {
    let entry = 0..ENTRIES.len();
    prop_oneof![
        6 => (entry.clone(), 0..IDS, prop_oneof![Just(5000), 5..60u64])
            .prop_map(|(via, id, budget)| Act::Order { via, id, budget }),
        1 => Just(Act::Gone),
        2 => (entry.clone(), prop_oneof![Just(Mode::Paused), Just(Mode::Running)])
            .prop_map(|(entry, mode)| Act::Set { entry, mode }),
        1 => entry.clone().prop_map(|entry| Act::Set { entry, mode: Mode::Killed }),
        1 => entry.clone().prop_map(|entry| Act::Restart { entry }),
        1 => entry.clone().prop_map(|entry| Act::Stop { entry }),
        1 => (entry, prop_oneof![Just(State::Suspect), Just(State::Live)])
            .prop_map(|(entry, state)| Act::Vm { entry, state }),
        3 => platform_fault().prop_map(Act::Platform),
        1 => Just(Act::Mend),
        1 => any::<bool>().prop_map(|on| Act::Partition { on }),
        1 => Just(Act::LoseOutcomes),
        4 => upstream_fault().prop_map(Act::Upstream),
        1 => (1..=UPSTREAMS, any::<bool>()).prop_map(|(upstream, down)| Act::Down { upstream, down }),
        1 => (1..=UPSTREAMS, prop_oneof![Just(State::Leaving), Just(State::Live)])
            .prop_map(|(upstream, state)| Act::Listed { upstream, state }),
        1 => (1..3_000u64).prop_map(|span| Act::Drain { span }),
    ]
}

fn platform_fault() -> impl Strategy<Value = store::fake::Fault> {
    use store::fake::Fault;
    prop_oneof![
        Just(Fault::TableDown),
        (5..40u64).prop_map(|span| Fault::Slow(Millis(span))),
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
        (5..80u64).prop_map(|span| Fault::Late(Millis(span))),
        Just(Fault::DieHalfway),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..15u64, act()).prop_map(|(gap, act)| Step { gap, act });
    prop::collection::vec(step, 3..14)
}

async fn play(steps: Vec<Step>) -> Result<(), String> {
    let mut world = World::new(&SETUP).await;
    let ids = ids(&world)?;
    for (number, step) in steps.into_iter().enumerate() {
        world.clock.sleep(Millis(step.gap)).await;
        take(&mut world, &ids, number, step.act);
    }
    finish(&mut world, &ids).await;
    world.check()
}

// Two ids that are claimed in the table and two that name their home.
fn ids(world: &World) -> Result<Vec<Arc<str>>, String> {
    let homed = |block| world.prefix("e1", block).map(|prefix| Arc::from(format!("{prefix}~x")));
    Ok(vec!["plain-1".into(), "plain-2".into(), homed(BLOCK_OF_E1)?, homed(BLOCK_OF_E2)?])
}

fn take(world: &mut World, ids: &[Arc<str>], number: usize, act: Act) {
    match act {
        Act::Order { via, id, budget } => {
            world.ask(order(format!("r{number}"), via, &ids[id], budget));
        }
        Act::Gone => {
            if let Some((_, call)) = world.callers.pop_last() {
                call.abort();
            }
        }
        Act::Set { entry, mode } => world.set(ENTRIES[entry], mode),
        Act::Restart { entry } => world.start(ENTRIES[entry], 2 + number as u64),
        Act::Stop { entry } => world.stop(ENTRIES[entry]),
        Act::Vm { entry, state } => world.set_vm(ENTRIES[entry], state),
        Act::Platform(fault) => world.platform.inject(fault),
        Act::Mend => world.platform.mend(),
        Act::Partition { on } => world.relays.set_partitioned(on),
        Act::LoseOutcomes => world.relays.drop_outcomes(1),
        Act::Upstream(fault) => world.fleet.inject(fault),
        Act::Down { upstream, down } => world.server(&format!("o{upstream}")).set_down(down),
        Act::Drain { span } => {
            let start = world.clock.now();
            let target = Target::Domain("nord-0".into());
            let end = start + Millis(span);
            world.plan_drain(Drain { name: "drain".into(), target, start, end });
        }
        Act::Listed { upstream, state } => world.set_upstream(&format!("o{upstream}"), state),
    }
}

// Everything is mended and every order repeated everywhere, so a second run would show.
async fn finish(world: &mut World, ids: &[Arc<str>]) {
    world.platform.mend();
    world.relays.set_partitioned(false);
    for name in ENTRIES {
        world.set(name, Mode::Running);
    }
    world.clock.sleep(SETTLE).await;
    for via in 0..ENTRIES.len() {
        for (number, id) in ids.iter().enumerate() {
            world.ask(order(format!("last-{via}-{number}"), via, id, 5000));
        }
    }
    world.clock.sleep(SETTLE).await;
}

fn order(name: String, via: usize, id: &Arc<str>, budget: u64) -> Ask {
    Ask {
        name,
        via: ENTRIES[via].into(),
        service: "orders".into(),
        path: "/place".into(),
        block: 0,
        order: Some(Arc::clone(id)),
        budget: Some(Millis(budget)),
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
