//! Checks the observations of the stand-in `entryd` processes against the fleet's guarantees.

use super::{Cluster, Observation, digest};
use crate::rows::{CURRENT_KEY, Lease, PLAN_KEY, PLANNER_KEY};
use clock::{Clock, Millis};
use peer::message::Current;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use steering::{Plan, Snapshot, Stamp, State};
use store::fake::Platform;

/// Time between two reads of the platform's rows.
const WATCH_INTERVAL: Millis = Millis(1);

/// How long a configuration may take to be in force everywhere.
const PROPAGATION_BOUND: Millis = Millis(4000);

/// The versions and plans that were committed at the platform.
pub struct Commits {
    versions: Arc<Mutex<BTreeMap<u64, Commit>>>,
    plans: Arc<Mutex<BTreeMap<Stamp, blake3::Hash>>>,
    /// How often a write replaced a newer plan or epoch of the lease by an older one.
    stale_writes: Arc<Mutex<usize>>,
}

#[derive(Clone)]
struct Commit {
    at: Millis,
    preset: Arc<str>,
}

impl Commits {
    /// Starts to watch the platform's rows.
    pub fn watch(platform: Arc<Platform>, clock: Clock) -> Commits {
        let commits = Commits {
            versions: Arc::default(),
            plans: Arc::default(),
            stale_writes: Arc::default(),
        };
        let versions = Arc::clone(&commits.versions);
        let plans = Arc::clone(&commits.plans);
        let stale_writes = Arc::clone(&commits.stale_writes);
        tokio::spawn(async move {
            let mut seen = Rows::default();
            loop {
                if let Some(current) = read::<Current>(&platform, CURRENT_KEY, &mut seen.current) {
                    let commit = Commit { at: clock.now(), preset: current.preset };
                    lock(&versions).entry(current.version).or_insert(commit);
                }
                if let Some(plan) = read::<Plan>(&platform, PLAN_KEY, &mut seen.plan) {
                    let stamp = plan.stamp();
                    *lock(&stale_writes) += usize::from(stamp < seen.stamp);
                    seen.stamp = stamp;
                    lock(&plans).entry(stamp).or_insert(digest(&plan));
                }
                if let Some(lease) = read::<Lease>(&platform, PLANNER_KEY, &mut seen.lease) {
                    *lock(&stale_writes) += usize::from(lease.epoch < seen.epoch);
                    seen.epoch = lease.epoch;
                }
                clock.sleep(WATCH_INTERVAL).await;
            }
        });
        commits
    }
}

/// The versions of the rows that were read last, the last plan's stamp and the lease's epoch.
#[derive(Default)]
struct Rows {
    current: u64,
    plan: u64,
    lease: u64,
    stamp: Stamp,
    epoch: u64,
}

/// The row's content, unless its version is still `seen`; updates `seen`.
fn read<T>(platform: &Platform, key: &str, seen: &mut u64) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    let row = platform.row(key)?;
    if std::mem::replace(seen, row.version) == row.version {
        return None;
    }
    rmp_serde::from_slice(&row.value).ok()
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How many running `entryd` processes hold each configuration and plan epoch.
pub fn held_versions(cluster: &Cluster) -> Vec<String> {
    group(cluster, |held| {
        let epoch = held.plan.epoch;
        format!("version {} {} and a plan of epoch {epoch}", held.version, held.preset.name)
    })
}

/// How many running `entryd` processes hold each set of VMs that aren't live.
pub fn held_vms(cluster: &Cluster) -> Vec<String> {
    group(cluster, |snapshot| {
        let vms = snapshot.vms.iter().filter(|vm| vm.state != State::Live);
        let vms: Vec<String> = vms.map(|vm| format!("{} {:?}", vm.name, vm.state)).collect();
        format!("{} VMs, not live: {}", snapshot.vms.len(), list(&vms))
    })
}

/// How many running `entryd` processes hold each set of upstreams.
pub fn held_upstreams(cluster: &Cluster) -> Vec<String> {
    group(cluster, |snapshot| {
        let all = snapshot.upstreams.iter();
        let all: Vec<String> = all.map(|one| format!("{} {:?}", one.name, one.state)).collect();
        list(&all)
    })
}

fn group<F>(cluster: &Cluster, describe: F) -> Vec<String>
where
    F: Fn(&Snapshot) -> String,
{
    let mut groups: BTreeMap<String, usize> = BTreeMap::new();
    for vm in cluster.running() {
        let held =
            cluster.held_snapshot(vm).map_or_else(|| "nothing".into(), |held| describe(&held));
        *groups.entry(held).or_default() += 1;
    }
    groups.into_iter().map(|(held, count)| format!("{count} VMs hold {held}")).collect()
}

fn list(words: &[String]) -> String {
    if words.is_empty() { "none".into() } else { words.join(", ") }
}

/// Checks all invariants on the observations so far; returns the transcript's lines.
pub fn check(cluster: &Cluster, commits: &Commits) -> Vec<String> {
    let observations = cluster.observations().all();
    let versions = lock(&commits.versions).clone();
    let mut lines = vec!["verdict".to_string()];
    for (version, commit) in &versions {
        lines.push(format!(
            "  version {version} {}: {}",
            commit.preset,
            propagation(cluster, *version, commit, &observations)
        ));
    }
    for count in counts(cluster, commits) {
        lines.push(format!("  {}: {}", count.what, count.found));
    }
    lines
}

/// The invariants that were violated, with the number of violations of each.
pub fn violations(cluster: &Cluster, commits: &Commits) -> Vec<String> {
    let broken = counts(cluster, commits).into_iter().filter(|count| count.found > 0);
    broken.map(|count| format!("{}: {}", count.what, count.found)).collect()
}

/// How often an invariant was violated.
struct Count {
    what: &'static str,
    found: usize,
}

fn counts(cluster: &Cluster, commits: &Commits) -> Vec<Count> {
    let observations = cluster.observations().all();
    let uncommitted_presets = uncommitted_presets(&observations, &lock(&commits.versions));
    let plans = uncommitted_plans(&observations, &lock(&commits.plans));
    vec![
        Count { what: "versions fell at a VM", found: regressions(&observations) },
        Count { what: "snapshots unlike the version committed", found: uncommitted_presets },
        Count { what: "plans unlike the plan committed", found: plans },
        Count {
            what: "times an old planner's write took effect",
            found: *lock(&commits.stale_writes),
        },
    ]
}

/// How many running VMs have received `version` or a later one, and how long the last one took.
fn propagation(
    cluster: &Cluster,
    version: u64,
    commit: &Commit,
    observations: &[Observation],
) -> String {
    let running = cluster.running();
    let first = |vm: &usize| {
        let mut of_vm = observations.iter().filter(|observation| observation.vm == *vm);
        of_vm
            .find(|observation| observation.version >= version)
            .map(|observation| observation.at - commit.at)
    };
    let times: Vec<Millis> = running.iter().filter_map(first).collect();
    let last = times.iter().max().copied().unwrap_or_default();
    let bound = if last <= PROPAGATION_BOUND {
        format!("within {} s", PROPAGATION_BOUND.0 / 1000)
    } else {
        format!("the last after {} s", last.0.div_ceil(1000))
    };
    format!("at {} of {} VMs, {bound}", times.len(), running.len())
}

/// How often an `entryd` received an older version or plan than it had.
fn regressions(observations: &[Observation]) -> usize {
    let mut held: BTreeMap<(usize, u64), (u64, Stamp)> = BTreeMap::new();
    let mut regressions = 0;
    for observation in observations {
        let now = (observation.version, observation.plan);
        let last = held.insert((observation.vm, observation.incarnation), now).unwrap_or_default();
        regressions += usize::from(now.0 < last.0 || now.1 < last.1);
    }
    regressions
}

/// How many snapshots have a version that wasn't committed, or another preset than it.
fn uncommitted_presets(observations: &[Observation], versions: &BTreeMap<u64, Commit>) -> usize {
    let committed = |observation: &&Observation| {
        let commit = versions.get(&observation.version);
        commit.is_some_and(|commit| commit.preset == observation.preset)
    };
    observations.iter().filter(|observation| !committed(observation)).count()
}

/// How many plan stamps were received that weren't committed, or with another content.
fn uncommitted_plans(observations: &[Observation], plans: &BTreeMap<Stamp, blake3::Hash>) -> usize {
    let differing = observations.iter().filter(|observation| {
        observation.plan > Stamp::default()
            && plans.get(&observation.plan) != Some(&observation.plan_digest)
    });
    let numbers: BTreeSet<Stamp> = differing.map(|observation| observation.plan).collect();
    numbers.len()
}
