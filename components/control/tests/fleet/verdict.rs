//! What the stand-ins saw, against what the fleet promises.

use clock::{Clock, Millis};
use control::fake::{Cluster, Sight};
use peer::message::Current;
use platform::fake::Platform;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use steering::Plan;

const WATCH: Millis = Millis(5);

/// The versions that were committed at the platform, and when.
pub struct Commits {
    versions: Arc<Mutex<BTreeMap<u64, Commit>>>,
    plans: Arc<Mutex<BTreeMap<(u64, u64), Plan>>>,
}

#[derive(Clone)]
struct Commit {
    at: Millis,
    preset: Arc<str>,
}

impl Commits {
    pub fn watch(platform: Arc<Platform>, clock: Clock) -> Commits {
        let commits = Commits { versions: Arc::default(), plans: Arc::default() };
        let versions = Arc::clone(&commits.versions);
        let plans = Arc::clone(&commits.plans);
        tokio::spawn(async move {
            loop {
                if let Some(current) = read::<Current>(&platform, "current") {
                    let commit = Commit { at: clock.now(), preset: current.preset };
                    lock(&versions).entry(current.version).or_insert(commit);
                }
                if let Some(plan) = read::<Plan>(&platform, "plan") {
                    lock(&plans).entry((plan.epoch, plan.sequence)).or_insert(plan);
                }
                clock.sleep(WATCH).await;
            }
        });
        commits
    }
}

fn read<T>(platform: &Platform, key: &str) -> Option<T>
where
    T: serde::de::DeserializeOwned,
{
    rmp_serde::from_slice(&platform.row(key)?.value).ok()
}

fn lock<T>(shared: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the `entryd` processes that run hold, grouped.
pub fn holdings(cluster: &Cluster) -> Vec<String> {
    let mut groups: BTreeMap<String, usize> = BTreeMap::new();
    for vm in cluster.running() {
        let held = match cluster.held(vm) {
            Some(snapshot) => format!(
                "version {} {} plan {}.{}",
                snapshot.version, snapshot.preset.name, snapshot.plan.epoch, snapshot.plan.sequence
            ),
            None => "nothing".into(),
        };
        *groups.entry(held).or_default() += 1;
    }
    groups.into_iter().map(|(held, count)| format!("{count} VMs hold {held}")).collect()
}

/// The promises, judged over everything that was seen.
pub fn judge(cluster: &Cluster, commits: &Commits) -> Vec<String> {
    let sights = cluster.seen().all();
    let versions = lock(&commits.versions).clone();
    let mut lines = vec!["verdict".to_string()];
    for (version, commit) in &versions {
        lines.push(format!(
            "  version {version} {}: {}",
            commit.preset,
            spread(cluster, *version, commit, &sights)
        ));
    }
    lines.push(format!("  versions fell at a VM: {}", falls(&sights)));
    lines.push(format!(
        "  snapshots unlike the version committed: {}",
        strangers(&sights, &versions)
    ));
    lines.push(format!(
        "  plans unlike the plan committed: {}",
        strange_plans(&sights, &lock(&commits.plans))
    ));
    lines
}

/// When the last running VM had this version or a later one.
fn spread(cluster: &Cluster, version: u64, commit: &Commit, sights: &[Sight]) -> String {
    let running = cluster.running();
    let first = |vm: &usize| {
        let mut of_vm = sights.iter().filter(|sight| sight.vm == *vm);
        of_vm.find(|sight| sight.snapshot.version >= version).map(|sight| sight.at - commit.at)
    };
    let times: Vec<Millis> = running.iter().filter_map(first).collect();
    let last = times.iter().max().copied().unwrap_or_default();
    format!("at {} of {} VMs, the last after {} ms", times.len(), running.len(), last.0)
}

/// How often an `entryd` was given a lesser version or plan than it had.
fn falls(sights: &[Sight]) -> usize {
    let mut held: BTreeMap<(usize, u64), (u64, u64, u64)> = BTreeMap::new();
    let mut falls = 0;
    for sight in sights {
        let plan = &sight.snapshot.plan;
        let now = (sight.snapshot.version, plan.epoch, plan.sequence);
        let last = held.insert((sight.vm, sight.incarnation), now).unwrap_or_default();
        let fell = now.0 < last.0 || (now.1, now.2) < (last.1, last.2);
        falls += usize::from(fell);
    }
    falls
}

/// How many snapshots hold a preset that wasn't the one committed under their version.
fn strangers(sights: &[Sight], versions: &BTreeMap<u64, Commit>) -> usize {
    let committed = |sight: &&Sight| {
        let commit = versions.get(&sight.snapshot.version);
        commit.is_some_and(|commit| commit.preset == sight.snapshot.preset.name)
    };
    sights.iter().filter(|sight| !committed(sight)).count()
}

/// How many different plans were given that aren't the one committed under their number.
fn strange_plans(sights: &[Sight], plans: &BTreeMap<(u64, u64), Plan>) -> usize {
    let strange = sights
        .iter()
        .map(|sight| &sight.snapshot.plan)
        .filter(|plan| plan.sequence > 0 && plans.get(&(plan.epoch, plan.sequence)) != Some(plan));
    let numbers: BTreeSet<(u64, u64)> = strange.map(|plan| (plan.epoch, plan.sequence)).collect();
    numbers.len()
}
