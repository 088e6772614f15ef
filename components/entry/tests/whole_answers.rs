//! Tests with random faults that each caller gets the complete response to its own request.

#[allow(dead_code, reason = "each test file uses a part of the world")]
mod world;

use clock::Millis;
use entry::fake::Mode;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use settings::{Class, Drain, Target};
use steering::State;
use upstream::fake::Fault;
use world::{Call, Setup, World};

const SCHEDULES: u32 = 2_000;
const SEED: [u8; 16] = [11; 16];
const ENTRY: &str = "e1";
const UPSTREAMS: u16 = 6;
const SETTLE_TIME: Millis = Millis::from_secs(10);
const SETUP: Setup = Setup {
    poll_interval: Millis::from_secs(3600),
    tick_interval: Millis::from_secs(3600),
    services: &[("manuals", Class::Long), ("orders", Class::Short)],
    upstreams: UPSTREAMS,
};

#[derive(Clone, Debug)]
enum Action {
    Get { size: u32, budget_ms: u64 },
    Order { size: u32 },
    Disconnect,
    SetMode { mode: Mode },
    Stop,
    Restart,
    UpstreamFault(Fault),
    UpstreamState { upstream: u16, state: State },
    Drain { duration_ms: u64 },
}

#[derive(Clone, Debug)]
struct Step {
    delay_ms: u64,
    action: Action,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        1 => Just(Fault::Refuse),
        1 => Just(Fault::CloseAfter),
        1 => Just(Fault::RunThenShed),
        1 => (1..60u64).prop_map(|duration_ms| Fault::Late(Millis(duration_ms))),
        3 => Just(Fault::DieHalfway),
        1 => Just(Fault::Short),
        1 => Just(Fault::Long),
        1 => Just(Fault::Mixed),
        1 => Just(Fault::Change),
    ]
}

fn action() -> impl Strategy<Value = Action> {
    let size = prop_oneof![Just(0u32), Just(1), 1..40_000u32];
    let budget = prop_oneof![Just(5_000), 5..40u64];
    prop_oneof![
        5 => (size.clone(), budget).prop_map(|(size, budget_ms)| Action::Get { size, budget_ms }),
        2 => size.prop_map(|size| Action::Order { size }),
        1 => Just(Action::Disconnect),
        1 => prop_oneof![Just(Mode::Paused), Just(Mode::Running)]
            .prop_map(|mode| Action::SetMode { mode }),
        1 => Just(Action::Stop),
        1 => Just(Action::Restart),
        6 => fault().prop_map(Action::UpstreamFault),
        1 => (1..=UPSTREAMS, prop_oneof![Just(State::Leaving), Just(State::Live)])
            .prop_map(|(upstream, state)| Action::UpstreamState { upstream, state }),
        1 => (1..3_000u64).prop_map(|duration_ms| Action::Drain { duration_ms }),
    ]
}

fn schedule() -> impl Strategy<Value = Vec<Step>> {
    let step = (0..20u64, action()).prop_map(|(delay_ms, action)| Step { delay_ms, action });
    prop::collection::vec(step, 2..12)
}

async fn play(steps: Vec<Step>) -> Result<(), String> {
    let mut world = World::new(&SETUP).await;
    let prefix = world.prefix(ENTRY, 0)?;
    for (number, step) in steps.into_iter().enumerate() {
        world.clock.sleep(Millis(step.delay_ms)).await;
        apply(&mut world, &prefix, number, step.action);
    }
    world.set_mode(ENTRY, Mode::Running);
    world.clock.sleep(SETTLE_TIME).await;
    world.check()?;
    let lines = world.transcript.lines();
    match lines.iter().find(|line| line.contains("WRONG")) {
        Some(line) => Err(line.clone()),
        None => Ok(()),
    }
}

fn apply(world: &mut World, prefix: &str, number: usize, action: Action) {
    match action {
        Action::Get { size, budget_ms } => world.send(Call {
            service: "manuals".into(),
            order: None,
            budget: Some(Millis(budget_ms)),
            ..order(prefix, number, size)
        }),
        Action::Order { size } => world.send(order(prefix, number, size)),
        Action::Disconnect => {
            if let Some((_, request)) = world.calls.pop_last() {
                request.abort();
            }
        }
        Action::SetMode { mode } => world.set_mode(ENTRY, mode),
        Action::Stop => world.stop(ENTRY),
        Action::Restart => {
            // Resumes a paused process first, since callers still wait for its responses.
            world.set_mode(ENTRY, Mode::Running);
            world.start(ENTRY, 2 + number as u64);
        }
        Action::UpstreamFault(fault) => world.fleet.inject(fault),
        Action::Drain { duration_ms } => {
            let start = world.clock.now();
            let target = Target::Domain("nord-0".into());
            let end = start + Millis(duration_ms);
            world.plan_drain(Drain { name: "drain".into(), target, start, end });
        }
        Action::UpstreamState { upstream, state } => {
            // The state in the snapshot affects only the choice of upstreams.
            assert!(world.fake_upstream(&format!("m{upstream}")).load().is_ok());
            world.set_upstream_state(&format!("m{upstream}"), state);
            world.set_vm_state("e2", state);
        }
    }
}

fn order(prefix: &str, number: usize, size: u32) -> Call {
    Call {
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
fn no_caller_gets_a_wrong_or_silently_truncated_response() {
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
