//! Random faults against the promise that each caller gets the whole answer to its own request.

#[allow(dead_code, reason = "each test file uses a part of the world")]
mod world;

use clock::Millis;
use entry::fake::Mode;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use settings::{Class, Drain, Target};
use steering::State;
use upstream::fake::Fault;
use world::{Ask, Setup, World};

const SCHEDULES: u32 = 2_000;
const SEED: [u8; 16] = [11; 16];
const ENTRY: &str = "e1";
const UPSTREAMS: u16 = 6;
const SETTLE: Millis = Millis::from_secs(10);
const SETUP: Setup = Setup {
    poll: Millis::from_secs(3600),
    tick: Millis::from_secs(3600),
    services: &[("manuals", Class::Long), ("orders", Class::Short)],
    upstreams: UPSTREAMS,
};

#[derive(Clone, Debug)]
enum Act {
    Get { size: u32, budget: u64 },
    Order { size: u32 },
    Gone,
    Set { mode: Mode },
    Stop,
    Restart,
    Fault(Fault),
    Listed { upstream: u16, state: State },
    Drain { span: u64 },
}

#[derive(Clone, Debug)]
struct Step {
    gap: u64,
    act: Act,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        1 => Just(Fault::Refuse),
        1 => Just(Fault::CloseAfter),
        1 => Just(Fault::RunThenShed),
        1 => (1..60u64).prop_map(|span| Fault::Late(Millis(span))),
        3 => Just(Fault::DieHalfway),
        1 => Just(Fault::Short),
        1 => Just(Fault::Long),
        1 => Just(Fault::Mixed),
        1 => Just(Fault::Change),
    ]
}

fn act() -> impl Strategy<Value = Act> {
    let size = prop_oneof![Just(0u32), Just(1), 1..40_000u32];
    let budget = prop_oneof![Just(5_000), 5..40u64];
    prop_oneof![
        5 => (size.clone(), budget).prop_map(|(size, budget)| Act::Get { size, budget }),
        2 => size.prop_map(|size| Act::Order { size }),
        1 => Just(Act::Gone),
        1 => prop_oneof![Just(Mode::Paused), Just(Mode::Running)].prop_map(|mode| Act::Set { mode }),
        1 => Just(Act::Stop),
        1 => Just(Act::Restart),
        6 => fault().prop_map(Act::Fault),
        1 => (1..=UPSTREAMS, prop_oneof![Just(State::Leaving), Just(State::Live)])
            .prop_map(|(upstream, state)| Act::Listed { upstream, state }),
        1 => (1..3_000u64).prop_map(|span| Act::Drain { span }),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..20u64, act()).prop_map(|(gap, act)| Step { gap, act });
    prop::collection::vec(step, 2..12)
}

async fn play(steps: Vec<Step>) -> Result<(), String> {
    let mut world = World::new(&SETUP).await;
    let prefix = world.prefix(ENTRY, 0)?;
    for (number, step) in steps.into_iter().enumerate() {
        world.clock.sleep(Millis(step.gap)).await;
        take(&mut world, &prefix, number, step.act);
    }
    world.set(ENTRY, Mode::Running);
    world.clock.sleep(SETTLE).await;
    world.check()?;
    let lines = world.transcript.lines();
    match lines.iter().find(|line| line.contains("WRONG")) {
        Some(line) => Err(line.clone()),
        None => Ok(()),
    }
}

fn take(world: &mut World, prefix: &str, number: usize, act: Act) {
    match act {
        Act::Get { size, budget } => world.ask(Ask {
            service: "manuals".into(),
            order: None,
            budget: Some(Millis(budget)),
            ..order(prefix, number, size)
        }),
        Act::Order { size } => world.ask(order(prefix, number, size)),
        Act::Gone => {
            if let Some((_, call)) = world.callers.pop_last() {
                call.abort();
            }
        }
        Act::Set { mode } => world.set(ENTRY, mode),
        Act::Stop => world.stop(ENTRY),
        Act::Restart => {
            // Its callers wait for what the former one still has in flight.
            world.set(ENTRY, Mode::Running);
            world.start(ENTRY, 2 + number as u64);
        }
        Act::Fault(fault) => world.fleet.inject(fault),
        Act::Drain { span } => {
            let start = world.clock.now();
            let target = Target::Domain("nord-0".into());
            let end = start + Millis(span);
            world.plan_drain(Drain { name: "drain".into(), target, start, end });
        }
        Act::Listed { upstream, state } => {
            // Nothing but the choice of upstreams depends on this list.
            assert!(world.server(&format!("m{upstream}")).load().is_ok());
            world.set_upstream(&format!("m{upstream}"), state);
            world.set_vm("e2", state);
        }
    }
}

fn order(prefix: &str, number: usize, size: u32) -> Ask {
    Ask {
        name: format!("r{number}"),
        via: ENTRY.into(),
        service: "orders".into(),
        path: format!("/bytes/{size}/r{number}").into(),
        block: 0,
        order: Some(format!("{prefix}~{number}").into()),
        budget: Some(Millis(5_000)),
    }
}

#[test]
fn no_caller_gets_a_wrong_or_silently_short_answer() {
    let config = Config { cases: SCHEDULES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::XorShift, &SEED);
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
        panic!("{error}");
    }
}
