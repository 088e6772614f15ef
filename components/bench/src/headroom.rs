use crate::{Experiment, Row, Scenario, Spread, Table, Target};
use clock::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steering::limit::Window;
use steering::planner::{self, Ack, Demand, Input, Report};
use steering::share::{Configuration, limits, region_cap};
use steering::{Plan, SHARE_SCALE, Snapshot, State};

const MEASURED_SECONDS: u64 = 60;
const WARM_UP_SECONDS: u64 = 20;
const SECOND_MS: u64 = 1000;
/// The callers' demand in each region, relative to the region's cap.
const LOAD: f64 = 1.0;
/// Demand of the first VM in the skewed case, relative to each other VM of its region.
const SKEW: f64 = 3.0;
/// Demand of each VM in requests per second, for the plan made before the measurement.
const EVEN_DEMAND: u32 = 1000;
const START: Millis = Millis(1_000_000);
const MIN_ADMITTED_RATIO: f64 = 0.9;

/// Measures how much of a region's cap stays unused when it is split among entry VMs.
pub struct Headroom;

/// How the VMs' shares of the cap are set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    /// By one plan for even demand, which stays in force whatever the demand is.
    Fixed,
    /// By a new plan each second, from the demand of the second before.
    Planned,
}

/// Requests into the first region that were admitted after the warm-up.
#[derive(Clone, Copy, Debug, Default)]
struct Admitted {
    /// By the windows of the single VMs.
    split: u64,
    /// By one window that all VMs share.
    global: u64,
}

impl Experiment for Headroom {
    fn name(&self) -> &'static str {
        "headroom"
    }

    fn about(&self) -> &'static str {
        "requests admitted by shares over nine VMs against one global counter, even and skewed"
    }

    fn run(&self, seeds: &[u64], scenario: Scenario) -> Table {
        let row = |sharing: Sharing, policy: &str| {
            let ratio = |skew| {
                let runs = seeds.iter().map(|&seed| measure(scenario, sharing, skew, seed));
                Spread::of(runs.map(|run| run.split as f64 / run.global as f64).collect())
            };
            Row { policy: policy.to_owned(), cells: vec![ratio(1.0), ratio(SKEW)] }
        };
        let rows =
            vec![row(Sharing::Fixed, "fixed shares"), row(Sharing::Planned, "planned (ours)")];
        let in_force = &rows[1].cells;
        let targets = vec![
            Target::at_least("admitted / global, even demand", MIN_ADMITTED_RATIO, in_force[0]),
            Target::at_least(
                "admitted / global, one VM three times",
                MIN_ADMITTED_RATIO,
                in_force[1],
            ),
        ];
        Table {
            title: format!(
                "headroom, {}: demand at a region's cap, the region of the skewed VM, 60 s",
                scenario.name()
            ),
            seeds: seeds.to_vec(),
            columns: vec!["even", "one VM three times"],
            rows,
            targets,
        }
    }
}

fn measure(scenario: Scenario, sharing: Sharing, skew: f64, seed: u64) -> Admitted {
    let snapshot = scenario.snapshot();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = first_plan(&snapshot);
    let vms = snapshot.vms.len();
    let regions = snapshot.deployment.regions.len();
    let mut windows: Vec<Window> = (0..vms).map(|_| Window::new(0)).collect();
    let configuration = configuration(&snapshot);
    let region = |vm: usize| vm % regions;
    let cap = region_cap(configuration, &snapshot.deployment.regions[0], START);
    let mut global: Vec<Window> = (0..regions).map(|_| Window::new(cap)).collect();
    let rates = rates(vms, regions, skew, f64::from(cap) * LOAD);
    let mut admitted = Admitted::default();
    let mut plan_made_at = START;
    for second in 0..WARM_UP_SECONDS + MEASURED_SECONDS {
        let now = START + Millis(second * SECOND_MS);
        for (vm, window) in windows.iter_mut().enumerate() {
            let home_region = &snapshot.deployment.regions[region(vm)].name;
            let limits = limits(&plan, configuration, &snapshot.vms[vm].name, home_region, now);
            window.set_cap(limits.regions[region(vm)].requests);
        }
        let mut demand = vec![0; vms];
        for arrival in arrivals(&rates, now, &mut rng) {
            demand[arrival.vm] += 1;
            let admitted_split = windows[arrival.vm].admit(arrival.at).is_ok();
            let admitted_globally = global[region(arrival.vm)].admit(arrival.at).is_ok();
            if second >= WARM_UP_SECONDS && region(arrival.vm) == 0 {
                admitted.split += u64::from(admitted_split);
                admitted.global += u64::from(admitted_globally);
            }
        }
        if sharing == Sharing::Planned
            && let Some(next) = next_plan(&snapshot, &plan, &demand, now, plan_made_at)
        {
            plan = next;
            plan_made_at = now;
        }
    }
    admitted
}

fn configuration(snapshot: &Snapshot) -> Configuration<'_> {
    let Snapshot { deployment, preset, drains, .. } = snapshot;
    Configuration { deployment, preset, drains }
}

/// The rate of each VM in requests per second, `per_region` in each region. The first VM has `skew`
/// times the rate of the other VMs of its region.
fn rates(vms: usize, regions: usize, skew: f64, per_region: f64) -> Vec<f64> {
    let vms_per_region = (vms / regions) as f64;
    let rate = |vm: usize| match vm % regions {
        0 if vm == 0 => per_region * skew / (vms_per_region - 1.0 + skew),
        0 => per_region / (vms_per_region - 1.0 + skew),
        _ => per_region / vms_per_region,
    };
    (0..vms).map(rate).collect()
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    vm: usize,
}

/// The arrivals of one second at all VMs, sorted by time; a Poisson process at each VM.
fn arrivals(rates: &[f64], start: Millis, rng: &mut StdRng) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (vm, &rate) in rates.iter().enumerate() {
        let mut offset_ms = 0.0;
        loop {
            let uniform: f64 = rng.random();
            offset_ms += -(1.0 - uniform).ln() * SECOND_MS as f64 / rate;
            if offset_ms >= SECOND_MS as f64 {
                break;
            }
            all.push(Arrival { at: start + Millis(offset_ms as u64), vm });
        }
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.vm));
    all
}

/// The plan for even demand, after as many rounds of planning as the warm-up has seconds.
fn first_plan(snapshot: &Snapshot) -> Plan {
    let even = vec![EVEN_DEMAND; snapshot.vms.len()];
    let mut plan = Plan::default();
    for round in 0..WARM_UP_SECONDS {
        let now = START + Millis(round * SECOND_MS);
        plan = next_plan(snapshot, &plan, &even, now, Millis::ZERO).unwrap_or(plan);
    }
    plan
}

/// The plan that follows `old`, which every VM has acknowledged; `None` if `old` stays.
fn next_plan(
    snapshot: &Snapshot,
    old: &Plan,
    demand: &[u32],
    now: Millis,
    plan_made_at: Millis,
) -> Option<Plan> {
    let regions = snapshot.deployment.regions.len();
    let ack = Ack { stamp: old.stamp(), shift: old.shift, settled: SHARE_SCALE };
    let demand_by_region = |vm: usize| {
        let region = |number| if number == vm % regions { demand[vm] } else { 0 };
        (0..regions).map(region).collect()
    };
    let report = |vm: usize| Report {
        vm: std::sync::Arc::clone(&snapshot.vms[vm].name),
        region: (vm % regions) as u16,
        state: State::Live,
        ack: Some(ack),
        demand: Demand { regions: demand_by_region(vm), moving: 0 },
    };
    let reports: Vec<Report> = (0..demand.len()).map(report).collect();
    planner::next_plan(
        old,
        &Input {
            version: snapshot.version,
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            drains: &snapshot.drains,
            reports: &reports,
            epoch: 1,
            now,
            plan_made_at,
        },
    )
}
