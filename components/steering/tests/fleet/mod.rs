//! A fleet of entry VMs in virtual time, its planner, its callers and the regions they load.

mod caller;
mod node;
mod region;

use caller::Caller;
use clock::Millis;
use node::Node;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use region::Region;
use settings::{Drain, Preset, Target};
use std::fmt::Write;
use std::sync::Arc;
use steering::planner::{self, Input, Report};
use steering::sample::{self, Size};
use steering::{Plan, Regions, Snapshot, State};

const SEED: u64 = 1;
const TICK: Millis = Millis(10);
const ROUND: Millis = Millis(100);
const DETECT: Millis = Millis::from_secs(1);
const UNLIST: Millis = Millis::from_secs(10);
const LINE: Millis = Millis::from_secs(10);
const WARM_UP: Millis = Millis::from_secs(10);
const REGIONS: usize = 3;
const CAPACITY: u32 = 1000;
const SHIFT_CAP: u32 = 100;

/// The fleet; times are counted from the start of the session.
pub struct Fleet {
    now: Millis,
    rng: StdRng,
    current: Snapshot,
    changed: Millis,
    epoch: u64,
    nodes: Vec<Node>,
    callers: Vec<Caller>,
    regions: Vec<Region>,
    planner_runs: bool,
    reports_run: bool,
    demand: u32,
    joined: usize,
    refusals: Refusals,
    lines: Vec<String>,
}

/// Requests without an answer since the last line.
#[derive(Default)]
struct Refusals {
    overloaded: u32,
    shift_capped: u32,
    failed: u32,
    other: u32,
}

impl Fleet {
    /// Nine entry VMs, warm in their own regions, with a plan that all have acknowledged.
    pub fn new() -> Fleet {
        let mut current = sample::snapshot(Size { vms: 0, ..Size::TODAY });
        current.deployment = Arc::new(sample::deployment(Size::TODAY, CAPACITY));
        current.preset = sample::preset([1.0 / 3.0; REGIONS], SHIFT_CAP);
        current.plan = Plan::default();
        let mut fleet = Fleet {
            now: Millis::ZERO,
            rng: StdRng::seed_from_u64(SEED),
            callers: Caller::all(&current.deployment),
            regions: (0..REGIONS).map(|_| Region::new(WARM_UP)).collect(),
            current,
            changed: Millis::ZERO,
            epoch: 1,
            nodes: Vec::new(),
            planner_runs: true,
            reports_run: true,
            demand: 900,
            joined: 0,
            refusals: Refusals::default(),
            lines: Vec::new(),
        };
        (0..Size::TODAY.vms).for_each(|_| fleet.join());
        fleet
    }

    /// Runs until `until`.
    pub fn run(&mut self, until: Millis) {
        while self.now < until {
            if self.now.0.is_multiple_of(ROUND.0) {
                self.round();
            }
            if self.now.0.is_multiple_of(LINE.0) && self.now > Millis::ZERO {
                self.line();
            }
            let arrivals = u64::from(self.demand) * TICK.0 / 1000;
            (0..arrivals).for_each(|_| self.arrive());
            self.now = self.now + TICK;
        }
    }

    /// Puts another preset in force.
    pub fn preset(&mut self, change: impl FnOnce(&mut Preset)) {
        change(&mut self.current.preset);
        self.current.version += 1;
    }

    /// Changes the preset's shares.
    pub fn shares(&mut self, shares: [f64; REGIONS]) {
        self.preset(|preset| preset.shares = sample::preset(shares, SHIFT_CAP).shares);
    }

    /// Sets the requests a second of all callers together.
    pub fn demand(&mut self, rate: u32) {
        self.demand = rate;
    }

    /// Plans a drain of a region.
    pub fn drain(&mut self, region: &str, start: Millis, end: Millis) {
        let target = Target::Region(region.into());
        self.current.drains.push(Drain { name: region.into(), target, start, end });
        self.current.version += 1;
    }

    /// Stops or starts the planner.
    pub fn planner(&mut self, runs: bool) {
        self.planner_runs = runs;
    }

    /// Hands the planner's lease to another VM.
    pub fn replace_planner(&mut self) {
        self.epoch += 1;
        self.changed = Millis::ZERO;
    }

    /// Stops or starts the reports of demand.
    pub fn reports(&mut self, run: bool) {
        self.reports_run = run;
    }

    /// Cuts a VM off from plans, configuration and peers; its callers still reach it.
    pub fn cut(&mut self, vm: &str, cut: bool) {
        self.node(vm).cut = cut;
    }

    /// Kills a VM.
    pub fn kill(&mut self, vm: &str) {
        let now = self.now;
        self.node(vm).died = Some(now);
    }

    /// Adds a VM.
    pub fn join(&mut self) {
        let vm = sample::vm(self.joined);
        let region = sample::region_of_vm(self.joined);
        self.joined += 1;
        self.nodes.push(Node::new(vm, region, &self.current, self.now));
    }

    /// Takes a region's upstreams away or gives them back with cold caches.
    pub fn region(&mut self, name: &str, up: bool) {
        let names = &self.current.deployment.regions;
        let at = names.iter().position(|region| &*region.name == name).expect("a region");
        self.regions[at].set_up(up, self.now);
    }

    /// The transcript: a line every ten seconds and the peaks that each region saw.
    pub fn close(mut self) -> Vec<String> {
        for (region, declared) in self.regions.iter().zip(&self.current.deployment.regions) {
            let peak = region.peak();
            let cold = region.cold_peak();
            let name = &declared.name;
            self.lines.push(format!("{name}: at most {peak} requests and {cold} cold in a second"));
        }
        self.lines
    }

    fn node(&mut self, vm: &str) -> &mut Node {
        self.nodes.iter_mut().find(|node| &*node.vm.name == vm).expect("a VM")
    }

    /// One exchange between all that can reach each other.
    fn round(&mut self) {
        let now = self.now;
        let gone = |node: &Node| node.died.is_some_and(|died| now - died >= UNLIST);
        self.nodes.retain(|node| !gone(node));
        let reports_run = self.reports_run;
        self.nodes.iter_mut().for_each(|node| node.report(reports_run));
        if self.planner_runs {
            self.plan();
        }
        self.current.vms = self.nodes.iter().map(|node| node.seen(now, DETECT)).collect();
        let down = self.down();
        for node in self.nodes.iter_mut().filter(|node| node.died.is_none()) {
            node.take(&self.current, down, now);
        }
    }

    fn plan(&mut self) {
        let (now, changed) = (self.now, self.changed);
        let reports: Vec<Report> =
            self.nodes.iter().map(|node| node.reported(now, DETECT)).collect();
        let input = Input {
            version: self.current.version,
            deployment: &self.current.deployment,
            preset: &self.current.preset,
            drains: &self.current.drains,
            reports: &reports,
            epoch: self.epoch,
            now,
            plan_made_at: changed,
        };
        if let Some(plan) = planner::next_plan(&self.current.plan, &input) {
            self.current.plan = plan;
            self.changed = now;
        }
    }

    fn down(&self) -> Regions {
        let lost = |region: &Region| region.is_down_since(self.now, DETECT);
        let down = self.regions.iter().enumerate().filter(|(_, region)| lost(region));
        down.fold(Regions::NONE, |down, (at, _)| down.with(at as u16))
    }

    /// One request of a caller; a few callers send far more than the others.
    fn arrive(&mut self) {
        let skew: f64 = self.rng.random();
        let at = (skew * skew * self.callers.len() as f64) as usize;
        let draw: u32 = self.rng.random();
        let asked = self.rng.random_range(0..self.nodes.len());
        let now = self.now;
        let caller = &mut self.callers[at];
        caller.renew(&self.nodes[asked], now);
        let Some(entry) = caller.entry(&self.nodes) else {
            self.refusals.failed += 1;
            return;
        };
        match self.nodes[entry].admit(caller, draw, now) {
            Ok(admitted) => {
                let step = self.current.preset.shift_step;
                let region = &mut self.regions[usize::from(admitted.region)];
                self.refusals.failed += u32::from(!region.receive(caller.block, now, step));
            }
            Err(error) => self.refusals.count(error.kind),
        }
    }

    fn line(&mut self) {
        let mut line = format!("{:>6} served", self.now.0);
        for (region, declared) in self.regions.iter_mut().zip(&self.current.deployment.regions) {
            let served = region.take_served();
            let _ = write!(line, " {}={served}", declared.name);
        }
        let refused = std::mem::take(&mut self.refusals);
        let _ = write!(
            line,
            " refused overloaded={} shift-capped={} other={} failed={}",
            refused.overloaded, refused.shift_capped, refused.other, refused.failed
        );
        self.lines.push(line);
    }
}

impl Refusals {
    fn count(&mut self, kind: errors::Kind) {
        match kind {
            errors::Kind::Overloaded => self.overloaded += 1,
            errors::Kind::ShiftCapped => self.shift_capped += 1,
            _ => self.other += 1,
        }
    }
}

/// What peers think of a VM that died at `died`.
fn state(died: Option<Millis>, cut: bool, now: Millis, detect: Millis) -> State {
    match died {
        Some(died) if now - died >= detect => State::Suspect,
        _ if cut => State::Suspect,
        _ => State::Live,
    }
}
