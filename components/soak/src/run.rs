//! Runs one seed: starts all processes, injects the generated faults and reports violations.

use crate::checker::Summary;
use crate::cluster::{Cluster, MAX_VMS};
use crate::fault::{self, Fault, Features};
use clock::Millis;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use tokio::task::LocalSet;

/// Time until all VMs have received the configuration and know their peers.
const WARM_UP: Millis = Millis(2_500);
/// Length of the last part of a run, when all faults have ended and their effects are over.
const FINAL_PHASE: Millis = Millis(2_000);
/// Share of the authorized reads in the final phase that must be served. Upstreams refuse one request in 40.
const MIN_SERVED_SHARE: f64 = 0.95;

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The injected faults and planned operations, with their times since the end of the warm-up.
    pub faults: Vec<(Millis, Fault)>,
    /// Number of responses by HTTP status.
    pub responses: BTreeMap<u16, u64>,
    /// Violated guarantees, each with its time since the start.
    pub violations: Vec<String>,
}

/// What a run plays.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Determines the faults.
    pub seed: u64,
    /// Duration in seconds; the faults depend on it.
    pub seconds: u64,
    /// Number of VMs, [`MAX_VMS`] at most.
    pub vms: usize,
    /// What it may consist of.
    pub features: Features,
}

/// Plays `scenario` against the gateway binary `program`. Settings files are written to `directory`.
///
/// # Errors
///
/// When a settings file can't be written, an address is in use or a process can't be started.
pub async fn run(scenario: Scenario, program: &Path, directory: &Path) -> io::Result<Report> {
    LocalSet::new().run_until(run_local(scenario, program, directory)).await
}

async fn run_local(scenario: Scenario, program: &Path, directory: &Path) -> io::Result<Report> {
    let Scenario { seed, seconds, vms, features } = scenario;
    let cluster = Rc::new(Cluster::start(vms.min(MAX_VMS), features, program, directory).await?);
    let mut tasks = cluster.start_traffic();
    tokio::time::sleep(WARM_UP.duration()).await;
    let faults = fault::generate(seed, seconds, features);
    let started = cluster.checker.now();
    for (at, fault) in &faults {
        let wait = started + *at - cluster.checker.now();
        tokio::time::sleep(wait.duration()).await;
        if !fault.is_planned() {
            cluster.checker.disturb_until(cluster.checker.now() + fault.span());
        }
        tasks.push(tokio::task::spawn_local(Rc::clone(&cluster).inject(*fault)));
    }
    let end = started + Millis::from_secs(seconds);
    tokio::time::sleep((end - FINAL_PHASE - cluster.checker.now()).duration()).await;
    cluster.workload.is_final_phase.set(true);
    tokio::time::sleep((end - cluster.checker.now()).duration()).await;
    cluster.workload.is_running.set(false);
    for task in tasks {
        if let Err(error) = task.await {
            cluster.checker.report_violation(format!("a task of the soak failed: {error}"));
        }
    }
    cluster.stop_all().await;
    Ok(cluster.report(faults))
}

impl Cluster {
    fn report(&self, faults: Vec<(Millis, Fault)>) -> Report {
        let Summary { responses, final_reads, mut violations } = self.checker.summary();
        let reads: u64 = final_reads.values().sum();
        let served = final_reads.get(&200).copied().unwrap_or_default();
        if (served as f64) < reads as f64 * MIN_SERVED_SHARE || reads == 0 {
            violations.push(format!(
                "only {served} of {reads} reads were served in the final phase; by status: \
                 {final_reads:?}"
            ));
        }
        Report { faults, responses, violations }
    }
}
