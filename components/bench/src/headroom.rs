use crate::{Experiment, Row, Scene, Spread, Table, Target};
use clock::Millis;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use steering::limit::Window;
use steering::planner::{self, Ack, Demand, Input, Report};
use steering::share::{Configuration, limits, region_cap};
use steering::{Plan, SHARE_SCALE, Snapshot, State};

const SECONDS: u64 = 60;
const WARM_UP: u64 = 20;
const SECOND_MS: u64 = 1000;
/// What the callers of each region ask for, against the region's cap.
const LOAD: f64 = 1.0;
const SKEW: f64 = 3.0;
/// Requests a second of each VM, for the plan that is made before the measurement.
const EVEN_DEMAND: u32 = 1000;
const EPOCH: Millis = Millis(1_000_000);
const ADMITTED_LEAST: f64 = 0.9;

/// What splitting a cap among entry VMs leaves unused.
pub struct Headroom;

/// How the parts of the cap are worked out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sharing {
    /// As the planner gives them for even demand, whatever the demand becomes.
    Fixed,
    /// As the planner gives them each second from the demand of the last one.
    Planned,
}

/// Requests into the first region that the VMs' windows and one window over all of them admitted.
#[derive(Clone, Copy, Debug, Default)]
struct Admitted {
    split: u64,
    global: u64,
}

impl Experiment for Headroom {
    fn name(&self) -> &'static str {
        "headroom"
    }

    fn about(&self) -> &'static str {
        "requests admitted by shares over nine VMs against one global counter, even and skewed"
    }

    fn run(&self, seeds: &[u64], scene: Scene) -> Table {
        let row = |sharing: Sharing, policy: &str| {
            let part = |skew| {
                let runs = seeds.iter().map(|&seed| measure(scene, sharing, skew, seed));
                Spread::of(runs.map(|a| a.split as f64 / a.global as f64).collect())
            };
            Row { policy: policy.to_owned(), cells: vec![part(1.0), part(SKEW)] }
        };
        let rows =
            vec![row(Sharing::Fixed, "fixed shares"), row(Sharing::Planned, "planned (ours)")];
        let ours = &rows[1].cells;
        let targets = vec![
            Target::at_least("admitted / global, even demand", ADMITTED_LEAST, ours[0]),
            Target::at_least("admitted / global, one VM three times", ADMITTED_LEAST, ours[1]),
        ];
        Table {
            title: format!(
                "headroom, {}: demand at a region's cap, the region of the skewed VM, 60 s",
                scene.name()
            ),
            seeds: seeds.to_vec(),
            columns: vec!["even", "one VM three times"],
            rows,
            targets,
        }
    }
}

fn measure(scene: Scene, sharing: Sharing, skew: f64, seed: u64) -> Admitted {
    let snapshot = scene.snapshot();
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = first_plan(&snapshot);
    let vms = snapshot.vms.len();
    let regions = snapshot.deployment.regions.len();
    let mut windows: Vec<Window> = (0..vms).map(|_| Window::new(0)).collect();
    let configuration = configuration(&snapshot);
    let region = |vm: usize| vm % regions;
    let cap = region_cap(configuration, &snapshot.deployment.regions[0], EPOCH);
    let mut global: Vec<Window> = (0..regions).map(|_| Window::new(cap)).collect();
    let rates = rates(vms, regions, skew, f64::from(cap) * LOAD);
    let mut admitted = Admitted::default();
    let mut changed = EPOCH;
    for second in 0..WARM_UP + SECONDS {
        let now = EPOCH + Millis(second * SECOND_MS);
        for (vm, window) in windows.iter_mut().enumerate() {
            let home = &snapshot.deployment.regions[region(vm)].name;
            let limits = limits(&plan, configuration, &snapshot.vms[vm].name, home, now);
            window.set_cap(limits.regions[region(vm)].requests);
        }
        let mut demand = vec![0; vms];
        for arrival in arrivals(&rates, now, &mut rng) {
            demand[arrival.vm] += 1;
            let split = windows[arrival.vm].admit(arrival.at).is_ok();
            let whole = global[region(arrival.vm)].admit(arrival.at).is_ok();
            if second >= WARM_UP && region(arrival.vm) == 0 {
                admitted.split += u64::from(split);
                admitted.global += u64::from(whole);
            }
        }
        if sharing == Sharing::Planned
            && let Some(next) = next_plan(&snapshot, &plan, &demand, now, changed)
        {
            plan = next;
            changed = now;
        }
    }
    admitted
}

fn configuration(snapshot: &Snapshot) -> Configuration<'_> {
    let Snapshot { deployment, preset, drains, .. } = snapshot;
    Configuration { deployment, preset, drains }
}

/// The rate of each VM in requests a second; the first VM's is `skew` times its neighbours'.
fn rates(vms: usize, regions: usize, skew: f64, per_region: f64) -> Vec<f64> {
    let near = (vms / regions) as f64;
    let rate = |vm: usize| match vm % regions {
        0 if vm == 0 => per_region * skew / (near - 1.0 + skew),
        0 => per_region / (near - 1.0 + skew),
        _ => per_region / near,
    };
    (0..vms).map(rate).collect()
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Millis,
    vm: usize,
}

/// The arrivals of one second, in the order of their time.
fn arrivals(rates: &[f64], start: Millis, rng: &mut StdRng) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (vm, &rate) in rates.iter().enumerate() {
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random();
            at += -(1.0 - uniform).ln() * SECOND_MS as f64 / rate;
            if at >= SECOND_MS as f64 {
                break;
            }
            all.push(Arrival { at: start + Millis(at as u64), vm });
        }
    }
    all.sort_by_key(|arrival| (arrival.at, arrival.vm));
    all
}

fn first_plan(snapshot: &Snapshot) -> Plan {
    let even = vec![EVEN_DEMAND; snapshot.vms.len()];
    let mut plan = Plan::default();
    for step in 0..WARM_UP {
        let now = EPOCH + Millis(step * SECOND_MS);
        plan = next_plan(snapshot, &plan, &even, now, Millis::ZERO).unwrap_or(plan);
    }
    plan
}

/// The plan after `old`, which every VM has acknowledged.
fn next_plan(
    snapshot: &Snapshot,
    old: &Plan,
    demand: &[u32],
    now: Millis,
    changed: Millis,
) -> Option<Plan> {
    let regions = snapshot.deployment.regions.len();
    let ack = Ack { stamp: old.stamp(), shift: old.shift, settled: SHARE_SCALE };
    let asked = |vm: usize| {
        let region = |number| if number == vm % regions { demand[vm] } else { 0 };
        (0..regions).map(region).collect()
    };
    let report = |vm: usize| Report {
        vm: std::sync::Arc::clone(&snapshot.vms[vm].name),
        region: (vm % regions) as u16,
        state: State::Live,
        ack: Some(ack),
        demand: Demand { regions: asked(vm), moving: 0 },
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
            plan_made_at: changed,
        },
    )
}
