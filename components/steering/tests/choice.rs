//! The choice of upstreams: division among entry VMs, states, ejection and return.

use clock::Millis;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use settings::Class;
use std::collections::BTreeMap;
use std::sync::Arc;
use steering::choice::{
    Choice, LeastReported, Outcome, Pick, Pool, Random, Ranked, Reason, RoundRobin, Subset, Task,
    TwoChoices, Unavailable,
};
use steering::{Snapshot, State, sample};

const SERVICE: &str = "status";
const START: Millis = Millis(1_000_000);

fn snapshot(vms: usize, upstreams: usize, slots: u32) -> Snapshot {
    let size = sample::Size { vms, ..sample::Size::TODAY };
    let mut snapshot = sample::snapshot(size);
    sample::add_service(&mut snapshot, SERVICE, upstreams, slots);
    snapshot
}

fn pool(snapshot: &Snapshot) -> Pool {
    let mut pool = Pool::new();
    pool.update(&Subset::new(snapshot, SERVICE, &snapshot.vms[0].name), START);
    pool
}

fn task(class: Class) -> Task {
    Task { class, idempotent: true, tried: Vec::new() }
}

fn policies() -> Vec<Box<dyn Choice>> {
    let baselines: [Box<dyn Choice>; 4] = [
        Box::new(Random),
        Box::new(RoundRobin::default()),
        Box::new(LeastReported),
        Box::new(TwoChoices),
    ];
    let mut all = Vec::from(baselines);
    all.push(Box::new(Ranked));
    all
}

/// Responds to `rounds` short requests, one after the other; upstreams in `slow` take ten times as
/// long.
fn serve(pool: &mut Pool, rounds: usize, slow: &[usize], now: &mut Millis) -> Vec<Pick> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut picks = Vec::new();
    for _ in 0..rounds {
        let pick = Ranked.choose(pool, &task(Class::Short), *now, &mut rng).expect("all are live");
        let ticket = pool.start(pick.index, Class::Short, pick.reason == Reason::Probe, *now);
        let service = if slow.contains(&pick.index) { 200 } else { 20 };
        *now = *now + pool.members()[pick.index].round_trip + Millis(service);
        pool.finish(ticket, Outcome::Answered, *now);
        picks.push(pick);
    }
    picks
}

/// The parts of each upstream that all entry VMs together may use.
#[derive(Default)]
struct Sums {
    own: u32,
    long: u32,
    connections: u32,
}

fn sums(snapshot: &Snapshot) -> BTreeMap<Arc<str>, Sums> {
    let mut all: BTreeMap<Arc<str>, Sums> = BTreeMap::new();
    for vm in &snapshot.vms {
        for candidate in Subset::new(snapshot, SERVICE, &vm.name).candidates {
            let sum = all.entry(candidate.upstream.name).or_default();
            sum.own += candidate.own_slots;
            sum.long += candidate.long_slots;
            sum.connections += candidate.connections;
        }
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn parts_of_all_vms_sum_to_at_most_the_upstreams_limits(
        vms in 1usize..60,
        upstreams in 1usize..40,
        slots in 1u32..20,
        share in 0.0f64..1.0,
        leaving in proptest::collection::vec(any::<bool>(), 40),
    ) {
        let mut snapshot = snapshot(vms, upstreams, slots);
        snapshot.preset.long_share = share;
        for (upstream, leaving) in snapshot.upstreams.iter_mut().zip(leaving) {
            if leaving {
                upstream.state = State::Leaving;
            }
        }
        for (name, sum) in sums(&snapshot) {
            let live = snapshot.upstreams.iter().any(|u| u.name == name && u.state == State::Live);
            prop_assert_eq!(sum.own, if live { slots } else { 0 });
            prop_assert!(sum.long <= ((f64::from(slots) * share) as u32).max(1));
            prop_assert!(sum.connections <= 330);
        }
    }
}

#[test]
fn connections_stay_below_the_limit_at_the_design_size() {
    let snapshot = snapshot(700, 12, 3);
    let sums = sums(&snapshot);
    assert_eq!(sums.len(), 12, "every upstream is used");
    assert!(sums.values().all(|sum| sum.connections <= 330));
    for vm in snapshot.vms.iter().step_by(70) {
        let candidates = Subset::new(&snapshot, SERVICE, &vm.name).candidates;
        let near = candidates.iter().filter(|c| c.round_trip < Millis(24)).count();
        assert!(near >= 2, "{} has upstreams of its own region", vm.name);
        assert!(near < candidates.len(), "{} has one elsewhere", vm.name);
    }
}

#[test]
fn no_policy_chooses_a_leaving_upstream_or_needlessly_a_suspected_one() {
    let mut snapshot = snapshot(9, 6, 3);
    snapshot.upstreams[0].state = State::Leaving;
    snapshot.upstreams[1].state = State::Suspect;
    let mut pool = pool(&snapshot);
    let mut rng = StdRng::seed_from_u64(1);
    for mut policy in policies() {
        for _ in 0..200 {
            let pick = policy.choose(&mut pool, &task(Class::Short), START, &mut rng);
            assert!(pick.expect("four are live").index > 1, "{}", policy.name());
        }
        let live_tried = Task { tried: vec![2, 3, 4, 5], ..task(Class::Short) };
        let last = policy.choose(&mut pool, &live_tried, START, &mut rng);
        assert_eq!(last.expect("a suspected one is left").index, 1, "{}", policy.name());
        let all_tried = Task { tried: vec![1, 2, 3, 4, 5], ..task(Class::Short) };
        let none = policy.choose(&mut pool, &all_tried, START, &mut rng);
        assert_eq!(none, Err(Unavailable::Exhausted), "{}", policy.name());
    }
}

#[test]
fn an_upstream_marked_as_leaving_gets_no_more_requests() {
    let mut pool = pool(&snapshot(9, 6, 3));
    let mut now = START;
    let first = serve(&mut pool, 1, &[], &mut now)[0].index;
    pool.mark_leaving(first);
    assert!(serve(&mut pool, 300, &[], &mut now).iter().all(|pick| pick.index != first));
}

#[test]
fn slow_upstreams_are_ejected_but_never_more_than_a_quarter() {
    let mut pool = pool(&snapshot(3, 12, 3));
    let mut now = START;
    let slow = [0, 1, 2, 3, 4];
    let mut rng = StdRng::seed_from_u64(1);
    for round in 0..600 {
        let index = round % 12;
        let ticket = pool.start(index, Class::Short, false, now);
        now = now + pool.members()[index].round_trip;
        now = now + Millis(if slow.contains(&index) { 200 } else { 20 });
        pool.finish(ticket, Outcome::Answered, now);
        let _ = Ranked.choose(&mut pool, &task(Class::Short), now, &mut rng);
    }
    let ejected: Vec<usize> = (0..12).filter(|&at| pool.members()[at].is_ejected()).collect();
    assert_eq!(ejected.len(), 3, "{ejected:?}");
    assert!(ejected.iter().all(|index| slow.contains(index)), "{ejected:?}");
}

#[test]
fn an_ejected_upstream_is_probed_ever_less_often_and_returns_when_fast_again() {
    let mut pool = pool(&snapshot(3, 12, 3));
    let mut now = START;
    serve(&mut pool, 200, &[], &mut now);
    let slow = serve(&mut pool, 1, &[], &mut now)[0].index;
    let picks = serve(&mut pool, 1500, &[slow], &mut now);
    assert!(pool.members()[slow].is_ejected());
    let probes = picks.iter().filter(|pick| pick.reason == Reason::Probe).count();
    assert!((3..8).contains(&probes), "{probes}");
    serve(&mut pool, 1500, &[], &mut now);
    assert!(!pool.members()[slow].is_ejected());
}

#[test]
fn a_request_that_is_not_idempotent_never_probes() {
    let mut pool = pool(&snapshot(3, 12, 3));
    let mut now = START;
    serve(&mut pool, 200, &[], &mut now);
    let slow = serve(&mut pool, 1, &[], &mut now)[0].index;
    serve(&mut pool, 100, &[slow], &mut now);
    assert!(pool.members()[slow].is_ejected());
    let order = Task { idempotent: false, ..task(Class::Short) };
    let mut rng = StdRng::seed_from_u64(1);
    for second in 0..100 {
        let at = now + Millis::from_secs(second);
        let pick = Ranked.choose(&mut pool, &order, at, &mut rng).expect("all are live");
        assert_ne!(pick.reason, Reason::Probe);
        assert!(pick.index != slow || !pool.members()[slow].is_ejected());
    }
}

#[test]
fn an_upstream_that_no_request_may_probe_returns_after_a_while() {
    let mut pool = pool(&snapshot(3, 12, 3));
    let mut now = START;
    serve(&mut pool, 200, &[], &mut now);
    let slow = serve(&mut pool, 1, &[], &mut now)[0].index;
    serve(&mut pool, 20, &[slow], &mut now);
    assert!(pool.members()[slow].is_ejected());
    let order = Task { idempotent: false, ..task(Class::Short) };
    let mut rng = StdRng::seed_from_u64(1);
    let later = now + Millis::from_secs(40);
    let _ = Ranked.choose(&mut pool, &order, later, &mut rng);
    assert!(!pool.members()[slow].is_ejected());
    assert!(pool.members()[slow].ramp(later) < 1.0);
}

#[test]
fn a_pool_of_slow_upstreams_expects_slower_responses() {
    let mut pool = pool(&snapshot(3, 4, 3));
    let mut now = START;
    serve(&mut pool, 50, &[], &mut now);
    let calm = pool.expected(&task(Class::Short), now).expect("all are live");
    serve(&mut pool, 400, &[0, 1, 2, 3], &mut now);
    let slow = pool.expected(&task(Class::Short), now).expect("all are live");
    assert!(slow > calm + Millis(50), "{calm} {slow}");
    let all_tried = Task { tried: vec![0, 1, 2, 3], ..task(Class::Short) };
    assert_eq!(pool.expected(&all_tried, now), None);
}

#[test]
fn long_requests_hold_only_their_part_of_the_slots_and_short_ones_still_run() {
    let snapshot = snapshot(3, 6, 4);
    let mut pool = pool(&snapshot);
    let allowed: u32 = pool.members().iter().map(|member| member.long_slots).sum();
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..allowed {
        let pick = Ranked.choose(&mut pool, &task(Class::Long), START, &mut rng);
        pool.start(pick.expect("a slot is left").index, Class::Long, false, START);
    }
    let refused = Ranked.choose(&mut pool, &task(Class::Long), START, &mut rng);
    assert_eq!(refused, Err(Unavailable::LongSlots));
    assert!(Ranked.choose(&mut pool, &task(Class::Short), START, &mut rng).is_ok());
}

#[test]
fn a_ticket_stays_valid_after_its_upstream_is_removed() {
    let mut snapshot = snapshot(3, 3, 3);
    let mut pool = pool(&snapshot);
    let ticket = pool.start(0, Class::Short, false, START);
    let removed = snapshot.upstreams.remove(0);
    sample::add_service(&mut snapshot, SERVICE, 0, 3);
    let mut new = removed.clone();
    new.name = "status-99".into();
    snapshot.upstreams.push(new);
    pool.update(&Subset::new(&snapshot, SERVICE, &snapshot.vms[0].name), START);
    assert_eq!(pool.members()[0].name, removed.name);
    assert_eq!(pool.index("status-99"), Some(3));
    pool.finish(ticket, Outcome::Answered, START + Millis(20));
    assert_eq!(pool.members()[0].in_flight(), 0);
    assert!(pool.members()[3].ramp(START) < 1.0, "a new upstream is ramped");
}
