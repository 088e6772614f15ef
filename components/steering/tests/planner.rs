//! The planner: shares that never sum above a cap, and shifts for presets and drains.

use clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use settings::{Deployment, Drain, Preset, Target};
use std::sync::Arc;
use steering::planner::{self, Ack, Demand, Input, Report};
use steering::sample::{self, Size};
use steering::share::{self, Configuration};
use steering::{Plan, SHARE_SCALE, State};

const REGIONS: u16 = 3;
const MAX_PLAN: usize = 20 << 10;
const ROUND: Millis = Millis::from_secs(2);

/// An entry VM, the plan that it holds, and what the planner last heard of it.
struct Node {
    plan: Arc<Plan>,
    alive: bool,
    report: Report,
}

struct World {
    deployment: Deployment,
    preset: Preset,
    drains: Vec<Drain>,
    plan: Arc<Plan>,
    nodes: Vec<Node>,
    epoch: u64,
    now: Millis,
    joined: usize,
}

impl World {
    fn new(vms: usize) -> World {
        let mut world = World {
            deployment: sample::deployment(Size::TODAY, 1000),
            preset: sample::preset([1.0 / 3.0; 3], 100),
            drains: Vec::new(),
            plan: Arc::new(Plan::default()),
            nodes: Vec::new(),
            epoch: 1,
            now: Millis::from_secs(1000),
            joined: 0,
        };
        (0..vms).for_each(|_| world.join());
        world
    }

    fn join(&mut self) {
        let report = Report {
            vm: sample::vm(self.joined).name,
            region: sample::region_of_vm(self.joined),
            state: State::Live,
            ack: None,
            demand: Demand::default(),
        };
        self.joined += 1;
        self.nodes.push(Node { plan: Arc::new(Plan::default()), alive: true, report });
    }

    fn replan(&mut self) -> bool {
        self.now = self.now + ROUND;
        let reports: Vec<Report> = self.nodes.iter().map(|node| node.report.clone()).collect();
        let input = Input {
            version: 1,
            deployment: &self.deployment,
            preset: &self.preset,
            drains: &self.drains,
            reports: &reports,
            epoch: self.epoch,
            now: self.now,
            plan_made_at: Millis::ZERO,
        };
        let Some(plan) = planner::next_plan(&self.plan, &input) else {
            return false;
        };
        assert!(plan.stamp() > self.plan.stamp());
        self.plan = Arc::new(plan);
        true
    }

    fn deliver(&mut self, at: usize) {
        self.nodes[at].plan = Arc::clone(&self.plan);
    }

    fn hear(&mut self, at: usize) {
        let plan = &self.nodes[at].plan;
        let settled = if plan.is_settled() { SHARE_SCALE } else { 0 };
        let ack = Ack { stamp: plan.stamp(), shift: plan.shift, settled };
        self.nodes[at].report.ack = Some(ack);
    }

    /// Spreads, hears and plans until nothing changes.
    fn settle(&mut self) {
        for _ in 0..20 {
            (0..self.nodes.len()).for_each(|at| self.deliver(at));
            (0..self.nodes.len()).for_each(|at| self.hear(at));
            if !self.replan() {
                return;
            }
        }
        panic!("the planner doesn't come to rest");
    }

    fn used(&self, region: u16) -> u64 {
        let share = |node: &Node| {
            let member = node.plan.allocation(&node.report.vm);
            let units = member.map(|member| member.allotment(usize::from(region)));
            u64::from(units.unwrap_or_default().share)
        };
        self.nodes.iter().filter(|node| node.alive).map(share).sum()
    }

    fn shifts(&self) -> u64 {
        let share = |node: &Node| {
            let member = node.plan.allocation(&node.report.vm);
            member.map_or(0, |member| u64::from(member.shift.share))
        };
        self.nodes.iter().filter(|node| node.alive).map(share).sum()
    }

    fn held(&self, region: u16) -> u64 {
        let members = self.plan.members.iter();
        let units = members.map(|member| member.allotment(usize::from(region)));
        units.map(|units| u64::from(units.held())).sum()
    }
}

#[derive(Clone, Debug)]
enum Act {
    Plan,
    NewPlanner,
    Join,
    Deliver(usize),
    Hear(usize),
    Die(usize),
    Unlist(usize),
    Leave(usize),
    Silent(usize),
    Ask(usize, Demand),
}

fn demand_at_home(region: u16, rate: u32) -> Demand {
    let mut regions = vec![0; usize::from(REGIONS)];
    regions[usize::from(region)] = rate;
    Demand { regions, moving: 0 }
}

fn demand() -> impl Strategy<Value = Demand> {
    (prop::collection::vec(0u32..1000, 3), 0u32..500)
        .prop_map(|(regions, moving)| Demand { regions, moving })
}

fn act() -> impl Strategy<Value = Act> {
    prop_oneof![
        6 => Just(Act::Plan),
        1 => Just(Act::NewPlanner),
        1 => Just(Act::Join),
        6 => any::<usize>().prop_map(Act::Deliver),
        6 => any::<usize>().prop_map(Act::Hear),
        1 => any::<usize>().prop_map(Act::Die),
        2 => any::<usize>().prop_map(Act::Unlist),
        1 => any::<usize>().prop_map(Act::Leave),
        1 => any::<usize>().prop_map(Act::Silent),
        4 => (any::<usize>(), demand()).prop_map(|(at, demand)| Act::Ask(at, demand)),
    ]
}

fn apply(world: &mut World, act: Act) {
    let count = world.nodes.len();
    let at = |number: usize| number % count;
    match act {
        Act::Plan => drop(world.replan()),
        Act::NewPlanner => world.epoch += 1,
        Act::Join => world.join(),
        _ if count == 0 => {}
        Act::Deliver(number) if world.nodes[at(number)].alive => world.deliver(at(number)),
        Act::Hear(number) if world.nodes[at(number)].alive => world.hear(at(number)),
        Act::Die(number) => world.nodes[at(number)].alive = false,
        Act::Unlist(number) if !world.nodes[at(number)].alive => {
            world.nodes.remove(at(number));
        }
        Act::Leave(number) => world.nodes[at(number)].report.state = State::Leaving,
        Act::Silent(number) => world.nodes[at(number)].report.state = State::Suspect,
        Act::Ask(number, demand) => world.nodes[at(number)].report.demand = demand,
        Act::Deliver(_) | Act::Hear(_) | Act::Unlist(_) => {}
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::with_cases(400)
    })]

    #[test]
    fn shares_never_sum_above_a_cap(acts in prop::collection::vec(act(), 1..200)) {
        let mut world = World::new(9);
        for act in acts {
            apply(&mut world, act);
            prop_assert!(world.shifts() <= u64::from(SHARE_SCALE), "shift shares");
            for region in 0..REGIONS {
                prop_assert!(world.used(region) <= u64::from(SHARE_SCALE), "used in {region}");
                prop_assert!(world.held(region) <= u64::from(SHARE_SCALE), "held in {region}");
            }
        }
    }
}

#[test]
fn shares_follow_demand_and_admit_nine_tenths_of_one_counter() {
    let mut world = World::new(9);
    for (at, node) in world.nodes.iter_mut().enumerate() {
        node.report.demand = demand_at_home(node.report.region, if at == 0 { 540 } else { 180 });
    }
    world.settle();
    let caps = Configuration {
        deployment: &world.deployment,
        preset: &world.preset,
        drains: &world.drains,
    };
    let cap = share::region_cap(caps, &world.deployment.regions[0], world.now);
    let admitted = |node: &Node| {
        let limits = share::limits(&world.plan, caps, &node.report.vm, "nord", world.now);
        limits.regions[0].requests.min(node.report.demand.regions[0])
    };
    let nord = world.nodes.iter().filter(|node| node.report.region == 0);
    let admitted: u32 = nord.map(admitted).sum();
    assert!(admitted * 10 >= cap * 9, "{admitted} of {cap}");
}

#[test]
fn a_vm_that_joins_gets_a_share_only_when_the_others_have_let_go() {
    let mut world = World::new(9);
    world.settle();
    world.join();
    assert!(world.replan());
    let newcomer = Arc::clone(&world.nodes[9].report.vm);
    let before = world.plan.allocation(&newcomer).map_or(0, |member| member.allotment(0).share);
    world.settle();
    let after = world.plan.allocation(&newcomer).unwrap().allotment(0).share;
    assert!(before < after / 10, "{before} then {after}");
    assert!(!world.replan(), "a settled world needs no plan");
}

#[test]
fn a_silent_vm_keeps_its_share_and_one_off_the_list_frees_it() {
    let mut world = World::new(9);
    world.settle();
    let held = world.plan.allocation("vm-0000").unwrap().allotment(0).held();
    world.nodes[0].report.state = State::Suspect;
    world.nodes[0].report.ack = None;
    world.nodes[3].report.demand = demand_at_home(0, 900);
    world.replan();
    assert_eq!(world.plan.allocation("vm-0000").unwrap().allotment(0).held(), held);
    world.nodes.remove(0);
    world.settle();
    assert!(world.plan.allocation("vm-0000").is_none());
    assert!(world.plan.allocation("vm-0003").unwrap().allotment(0).share > held);
}

#[test]
fn a_region_drain_moves_the_weights_before_it_starts_and_back_after_it() {
    let mut world = World::new(9);
    for node in &mut world.nodes {
        node.report.demand = demand_at_home(node.report.region, 100);
    }
    world.settle();
    let start = world.now + Millis::from_secs(600);
    let end = start + Millis::from_secs(60);
    let target = Target::Region("sud".into());
    world.drains.push(Drain { name: "sud".into(), target, start, end });
    world.settle();
    assert!(world.plan.to.rows.iter().any(|row| row[2] > 0), "too early");
    while world.plan.to.rows.iter().any(|row| row[2] > 0) {
        world.replan();
        assert!(world.now < start);
    }
    let spare = start - world.now;
    assert!(spare >= Millis::from_secs(2 * 9 * 2), "{spare} for nine caps of traffic");
    world.now = end;
    world.replan();
    assert!(world.plan.to.rows.iter().any(|row| row[2] > 0), "not back");
}

#[test]
fn a_change_in_the_middle_of_a_shift_starts_from_the_mixture() {
    let mut world = World::new(3);
    world.settle();
    let nearest = world.plan.to.clone();
    world.preset = sample::preset([0.6, 0.2, 0.2], 100);
    assert!(world.replan());
    assert_eq!(world.plan.from[0].split, nearest);
    for at in 0..3 {
        world.deliver(at);
        let (stamp, shift) = (world.plan.stamp(), world.plan.shift);
        world.nodes[at].report.ack = Some(Ack { stamp, shift, settled: SHARE_SCALE / 2 });
    }
    let half = world.plan.to.clone();
    world.preset = sample::preset([0.2, 0.2, 0.6], 100);
    assert!(world.replan());
    let from: Vec<_> = world.plan.from.iter().map(|s| (s.until, s.split.clone())).collect();
    assert_eq!(from, [(SHARE_SCALE / 2, half), (SHARE_SCALE, nearest)]);
}

#[test]
fn a_plan_for_seven_hundred_nodes_is_small() {
    let snapshot = sample::snapshot(Size::DESIGN);
    let mut world = World::new(700);
    world.plan = Arc::new(snapshot.plan);
    for (at, node) in world.nodes.iter_mut().enumerate() {
        let mut demand = demand_at_home(node.report.region, 100 + at as u32 % 300);
        demand.regions[at / 7 % 3] += at as u32 % 50;
        demand.moving = at as u32 % 70;
        node.report.demand = demand;
    }
    world.replan();
    let encoded = rmp_serde::to_vec(&*world.plan).unwrap();
    assert_eq!(rmp_serde::from_slice::<Plan>(&encoded).unwrap(), *world.plan);
    let bytes = encoded.len();
    assert!(bytes <= MAX_PLAN, "{bytes} bytes");
}
