//! What the stand-ins saw, against what the fleet promises.

use super::{Cluster, Observation, digest};
use crate::rows::{CURRENT, Lease, PLAN, PLANNER};
use clock::{Clock, Millis};
use peer::message::Current;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use steering::{Plan, Snapshot, Stamp, State};
use store::fake::Platform;

const WATCH: Millis = Millis(1);

/// Within this time a configuration has to be in force everywhere.
const BOUND: Millis = Millis(4000);

/// The versions and plans that were committed at the platform, and when.
pub struct Commits {
    versions: Arc<Mutex<BTreeMap<u64, Commit>>>,
    plans: Arc<Mutex<BTreeMap<Stamp, blake3::Hash>>>,
    reverts: Arc<Mutex<usize>>,
}

#[derive(Clone)]
struct Commit {
    at: Millis,
    preset: Arc<str>,
}

impl Commits {
    /// Watches the platform's rows from here on.
    pub fn watch(platform: Arc<Platform>, clock: Clock) -> Commits {
        let commits =
            Commits { versions: Arc::default(), plans: Arc::default(), reverts: Arc::default() };
        let versions = Arc::clone(&commits.versions);
        let plans = Arc::clone(&commits.plans);
        let reverts = Arc::clone(&commits.reverts);
        tokio::spawn(async move {
            let mut seen = Rows::default();
            loop {
                if let Some(current) = read::<Current>(&platform, CURRENT, &mut seen.current) {
                    let commit = Commit { at: clock.now(), preset: current.preset };
                    lock(&versions).entry(current.version).or_insert(commit);
                }
                if let Some(plan) = read::<Plan>(&platform, PLAN, &mut seen.plan) {
                    let stamp = plan.stamp();
                    *lock(&reverts) += usize::from(stamp < seen.stamp);
                    seen.stamp = stamp;
                    lock(&plans).entry(stamp).or_insert(digest(&plan));
                }
                if let Some(lease) = read::<Lease>(&platform, PLANNER, &mut seen.lease) {
                    *lock(&reverts) += usize::from(lease.epoch < seen.epoch);
                    seen.epoch = lease.epoch;
                }
                clock.sleep(WATCH).await;
            }
        });
        commits
    }
}

/// The versions of the rows that were read last, and what the planner's rows held.
#[derive(Default)]
struct Rows {
    current: u64,
    plan: u64,
    lease: u64,
    stamp: Stamp,
    epoch: u64,
}

/// The row's content, unless its version was `seen` before.
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

/// What the `entryd` processes that run hold, grouped.
pub fn holdings(cluster: &Cluster) -> Vec<String> {
    group(cluster, |held| {
        let epoch = held.plan.epoch;
        format!("version {} {} and a plan of epoch {epoch}", held.version, held.preset.name)
    })
}

/// What the `entryd` processes that run hold of the VMs that aren't live, grouped.
pub fn states(cluster: &Cluster) -> Vec<String> {
    group(cluster, |snapshot| {
        let others = snapshot.vms.iter().filter(|vm| vm.state != State::Live);
        let others: Vec<String> = others.map(|vm| format!("{} {:?}", vm.name, vm.state)).collect();
        format!("{} VMs, not live: {}", snapshot.vms.len(), list(&others))
    })
}

/// What the `entryd` processes that run hold of the upstreams, grouped.
pub fn upstreams(cluster: &Cluster) -> Vec<String> {
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
        let held = cluster.held(vm).map_or_else(|| "nothing".into(), |held| describe(&held));
        *groups.entry(held).or_default() += 1;
    }
    groups.into_iter().map(|(held, count)| format!("{count} VMs hold {held}")).collect()
}

fn list(words: &[String]) -> String {
    if words.is_empty() { "none".into() } else { words.join(", ") }
}

/// The promises, judged over everything that was seen.
pub fn judge(cluster: &Cluster, commits: &Commits) -> Vec<String> {
    let sights = cluster.observations().all();
    let versions = lock(&commits.versions).clone();
    let mut lines = vec!["verdict".to_string()];
    for (version, commit) in &versions {
        lines.push(format!(
            "  version {version} {}: {}",
            commit.preset,
            spread(cluster, *version, commit, &sights)
        ));
    }
    for count in counts(cluster, commits) {
        lines.push(format!("  {}: {}", count.what, count.found));
    }
    lines
}

/// The promises that were broken, in words.
pub fn faults(cluster: &Cluster, commits: &Commits) -> Vec<String> {
    let broken = counts(cluster, commits).into_iter().filter(|count| count.found > 0);
    broken.map(|count| format!("{}: {}", count.what, count.found)).collect()
}

/// How often a promise was broken.
struct Count {
    what: &'static str,
    found: usize,
}

fn counts(cluster: &Cluster, commits: &Commits) -> Vec<Count> {
    let sights = cluster.observations().all();
    let strangers = strangers(&sights, &lock(&commits.versions));
    let plans = strange_plans(&sights, &lock(&commits.plans));
    vec![
        Count { what: "versions fell at a VM", found: falls(&sights) },
        Count { what: "snapshots unlike the version committed", found: strangers },
        Count { what: "plans unlike the plan committed", found: plans },
        Count { what: "times an old planner's write took effect", found: *lock(&commits.reverts) },
    ]
}

/// When the last running VM had this version or a later one.
fn spread(cluster: &Cluster, version: u64, commit: &Commit, sights: &[Observation]) -> String {
    let running = cluster.running();
    let first = |vm: &usize| {
        let mut of_vm = sights.iter().filter(|sight| sight.vm == *vm);
        of_vm.find(|sight| sight.version >= version).map(|sight| sight.at - commit.at)
    };
    let times: Vec<Millis> = running.iter().filter_map(first).collect();
    let last = times.iter().max().copied().unwrap_or_default();
    let bound = if last <= BOUND {
        format!("within {} s", BOUND.0 / 1000)
    } else {
        format!("the last after {} s", last.0.div_ceil(1000))
    };
    format!("at {} of {} VMs, {bound}", times.len(), running.len())
}

/// How often an `entryd` was given a lesser version or plan than it had.
fn falls(sights: &[Observation]) -> usize {
    let mut held: BTreeMap<(usize, u64), (u64, Stamp)> = BTreeMap::new();
    let mut falls = 0;
    for sight in sights {
        let now = (sight.version, sight.plan);
        let last = held.insert((sight.vm, sight.incarnation), now).unwrap_or_default();
        falls += usize::from(now.0 < last.0 || now.1 < last.1);
    }
    falls
}

/// How many snapshots hold a preset that wasn't the one committed under their version.
fn strangers(sights: &[Observation], versions: &BTreeMap<u64, Commit>) -> usize {
    let committed = |sight: &&Observation| {
        let commit = versions.get(&sight.version);
        commit.is_some_and(|commit| commit.preset == sight.preset)
    };
    sights.iter().filter(|sight| !committed(sight)).count()
}

/// How many different plans were given that aren't the one committed under their number.
fn strange_plans(sights: &[Observation], plans: &BTreeMap<Stamp, blake3::Hash>) -> usize {
    let strange = sights.iter().filter(|sight| {
        sight.plan > Stamp::default() && plans.get(&sight.plan) != Some(&sight.plan_digest)
    });
    let numbers: BTreeSet<Stamp> = strange.map(|sight| sight.plan).collect();
    numbers.len()
}
