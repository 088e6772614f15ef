//! Simulates entry VMs, their planner, their callers and the regions in virtual time.

mod caller;
mod entry_vm;
mod region;

use caller::Caller;
use clock::Millis;
use entry_vm::EntryVm;
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
/// Time between exchanges of reports, plans and snapshots.
const EXCHANGE_INTERVAL: Millis = Millis(100);
/// The time after which a failure is observed.
const DETECTION_TIME: Millis = Millis::from_secs(1);
/// The time after which a dead VM is no longer listed.
const UNLIST_TIME: Millis = Millis::from_secs(10);
/// Time between lines of the transcript.
const LINE_INTERVAL: Millis = Millis::from_secs(10);
const WARM_UP: Millis = Millis::from_secs(10);
const REGIONS: usize = 3;
/// Of each region, in requests a second.
const CAPACITY: u32 = 1000;
/// In requests a second.
const SHIFT_CAP: u32 = 100;

/// The simulated system; time starts at zero with the session.
pub struct Fleet {
    now: Millis,
    rng: StdRng,
    current: Snapshot,
    plan_made_at: Millis,
    epoch: u64,
    vms: Vec<EntryVm>,
    callers: Vec<Caller>,
    regions: Vec<Region>,
    planner_runs: bool,
    /// Whether reports include the demand.
    reports_demand: bool,
    /// Requests a second of all callers.
    demand: u32,
    /// Entry VMs created so far.
    joined: usize,
    refusals: Refusals,
    lines: Vec<String>,
}

/// Requests without a response since the last line, by cause.
#[derive(Default)]
struct Refusals {
    overloaded: u32,
    shift_capped: u32,
    failed: u32,
    other: u32,
}

impl Fleet {
    /// Creates nine entry VMs and an empty plan, which the planner replaces in the first exchange.
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
            plan_made_at: Millis::ZERO,
            epoch: 1,
            vms: Vec::new(),
            planner_runs: true,
            reports_demand: true,
            demand: 900,
            joined: 0,
            refusals: Refusals::default(),
            lines: Vec::new(),
        };
        (0..Size::TODAY.vms).for_each(|_| fleet.join());
        fleet
    }

    /// Runs the simulation until `until`.
    pub fn run(&mut self, until: Millis) {
        while self.now < until {
            if self.now.0.is_multiple_of(EXCHANGE_INTERVAL.0) {
                self.exchange();
            }
            if self.now.0.is_multiple_of(LINE_INTERVAL.0) && self.now > Millis::ZERO {
                self.write_line();
            }
            let arrivals = u64::from(self.demand) * TICK.0 / 1000;
            (0..arrivals).for_each(|_| self.send_request());
            self.now = self.now + TICK;
        }
    }

    /// Changes the preset in force.
    pub fn preset(&mut self, change: impl FnOnce(&mut Preset)) {
        change(&mut self.current.preset);
        self.current.version += 1;
    }

    /// Changes the preset's shares.
    pub fn shares(&mut self, shares: [f64; REGIONS]) {
        self.preset(|preset| preset.shares = sample::preset(shares, SHIFT_CAP).shares);
    }

    /// Sets the requests a second of all callers.
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
        self.plan_made_at = Millis::ZERO;
    }

    /// Stops or starts the reports of demand.
    pub fn reports(&mut self, run: bool) {
        self.reports_demand = run;
    }

    /// Partitions a VM from plans, configuration and peers, or ends that; callers still reach it.
    pub fn partition(&mut self, vm: &str, partitioned: bool) {
        self.vm(vm).partitioned = partitioned;
    }

    /// Kills a VM.
    pub fn kill(&mut self, vm: &str) {
        let now = self.now;
        self.vm(vm).died = Some(now);
    }

    /// Adds a VM.
    pub fn join(&mut self) {
        let vm = sample::vm(self.joined);
        let region = sample::region_of_vm(self.joined);
        self.joined += 1;
        self.vms.push(EntryVm::new(vm, region, &self.current, self.now));
    }

    /// Stops a region's upstreams, or starts them with cold caches.
    pub fn region(&mut self, name: &str, up: bool) {
        let names = &self.current.deployment.regions;
        let at = names.iter().position(|region| &*region.name == name).expect("a region");
        self.regions[at].set_up(up, self.now);
    }

    /// The transcript: a line for every ten seconds, then the peak load of each region.
    pub fn transcript(mut self) -> Vec<String> {
        for (region, declared) in self.regions.iter().zip(&self.current.deployment.regions) {
            let peak = region.peak();
            let cold = region.cold_peak();
            let name = &declared.name;
            self.lines.push(format!("{name}: at most {peak} requests and {cold} cold in a second"));
        }
        self.lines
    }

    fn vm(&mut self, name: &str) -> &mut EntryVm {
        self.vms.iter_mut().find(|vm| &*vm.vm.name == name).expect("a VM")
    }

    /// Exchanges reports, plans and snapshots between all VMs that can reach each other.
    fn exchange(&mut self) {
        let now = self.now;
        let unlisted = |vm: &EntryVm| vm.died.is_some_and(|died| now - died >= UNLIST_TIME);
        self.vms.retain(|vm| !unlisted(vm));
        let reports_demand = self.reports_demand;
        self.vms.iter_mut().for_each(|vm| vm.send_report(reports_demand));
        if self.planner_runs {
            self.plan();
        }
        self.current.vms = self.vms.iter().map(|vm| vm.observed(now, DETECTION_TIME)).collect();
        let down = self.down();
        for vm in self.vms.iter_mut().filter(|vm| vm.died.is_none()) {
            vm.update(&self.current, down, now);
        }
    }

    fn plan(&mut self) {
        let (now, plan_made_at) = (self.now, self.plan_made_at);
        let reports: Vec<Report> =
            self.vms.iter().map(|vm| vm.report(now, DETECTION_TIME)).collect();
        let input = Input {
            version: self.current.version,
            deployment: &self.current.deployment,
            preset: &self.current.preset,
            drains: &self.current.drains,
            reports: &reports,
            epoch: self.epoch,
            now,
            plan_made_at,
        };
        if let Some(plan) = planner::next_plan(&self.current.plan, &input) {
            self.current.plan = plan;
            self.plan_made_at = now;
        }
    }

    fn down(&self) -> Regions {
        let is_down = |region: &Region| region.is_observed_down(self.now, DETECTION_TIME);
        let down = self.regions.iter().enumerate().filter(|(_, region)| is_down(region));
        down.fold(Regions::NONE, |down, (at, _)| down.with(at as u16))
    }

    /// Sends one request of a random caller; a few callers send far more than the others.
    fn send_request(&mut self) {
        let skew: f64 = self.rng.random();
        let at = (skew * skew * self.callers.len() as f64) as usize;
        let request_hash: u32 = self.rng.random();
        let queried = self.rng.random_range(0..self.vms.len());
        let now = self.now;
        let caller = &mut self.callers[at];
        caller.renew(&self.vms[queried], now);
        let Some(entry) = caller.entry(&self.vms) else {
            self.refusals.failed += 1;
            return;
        };
        match self.vms[entry].admit(caller, request_hash, now) {
            Ok(admitted) => {
                let step = self.current.preset.shift_step;
                let region = &mut self.regions[usize::from(admitted.region)];
                self.refusals.failed += u32::from(!region.receive(caller.block, now, step));
            }
            Err(error) => self.refusals.count(error.kind),
        }
    }

    fn write_line(&mut self) {
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

/// The state that peers observe of a VM that was killed at `died` or is partitioned.
fn observed_state(died: Option<Millis>, partitioned: bool, now: Millis, detect: Millis) -> State {
    match died {
        Some(died) if now - died >= detect => State::Suspect,
        _ if partitioned => State::Suspect,
        _ => State::Live,
    }
}
