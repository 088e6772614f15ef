use crate::Scene;
use clock::Millis;
use control::Dissemination;
use control::fake::{Cluster, address, delays};
use operator::Api;
use operator::wire::{Apply, UsePreset};
use std::sync::Arc;
use tokio::runtime::Builder;

/// How long a fleet runs before anything is measured.
const SETTLE: Millis = Millis(20_000);

/// How long the idle fleet's traffic is counted.
const IDLE: Millis = Millis(10_000);

/// How long a change may take before the run ends.
const PATIENCE: Millis = Millis(10_000);

/// Headers and lines of HTTP around each message or reply, in bytes.
const HTTP_BYTES: u64 = 130;

/// A fleet of agents in which one change is spread while the platform is down.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The deployment, for its delays.
    pub scene: Scene,
    /// Entry VMs.
    pub vms: usize,
    /// The part of messages, and of replies, that is lost.
    pub loss: f64,
}

/// What became of the change.
#[derive(Clone, Copy, Debug)]
pub struct Spreading {
    /// Time until half of the VMs had the change, in seconds.
    pub half: f64,
    /// Time until all had it, in seconds; the patience if some never had it.
    pub all: f64,
    /// VMs that never had it.
    pub missed: usize,
    /// Bytes a second that a VM sent while nothing changed.
    pub idle: f64,
    /// Bytes that the change cost a VM, sent.
    pub change: f64,
    /// Bytes that the change cost the VM that sent most.
    pub busiest: f64,
}

/// Runs `fleet` with news disseminated by `dissemination`.
///
/// # Panics
///
/// If the runtime can't be built or the fleet refuses the first configuration.
pub fn run(fleet: Fleet, dissemination: Arc<dyn Dissemination>, seed: u64) -> Spreading {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime without I/O").block_on(measure(fleet, dissemination, seed))
}

async fn measure(fleet: Fleet, dissemination: Arc<dyn Dissemination>, seed: u64) -> Spreading {
    let mut cluster = Cluster::new(fleet.vms, seed);
    cluster.set_dissemination(dissemination);
    cluster.network.set_delay(delays(fleet.scene.link_delay()));
    cluster.start_all();
    apply(&cluster).await;
    cluster.network.set_loss(fleet.loss);
    cluster.clock.sleep(SETTLE).await;
    let before = sent(&cluster);
    cluster.clock.sleep(IDLE).await;
    let idle = mean(&difference(&before, &sent(&cluster))) / IDLE.as_secs_f64();
    let before = sent(&cluster);
    let committed = cluster.clock.now();
    change(&cluster).await;
    let times = wait(&cluster, committed).await;
    let span = (cluster.clock.now() - committed).as_secs_f64();
    let bytes: Vec<f64> =
        difference(&before, &sent(&cluster)).iter().map(|bytes| bytes - idle * span).collect();
    Spreading {
        half: times.get(fleet.vms / 2).map_or(PATIENCE, |at| *at).as_secs_f64(),
        all: times.get(fleet.vms - 1).map_or(PATIENCE, |at| *at).as_secs_f64(),
        missed: fleet.vms - times.len(),
        idle,
        change: mean(&bytes),
        busiest: bytes.iter().copied().fold(0.0, f64::max),
    }
}

async fn apply(cluster: &Cluster) {
    let source = settings::write(&cluster.declaration());
    let agent = cluster.agent(0).expect("a running agent");
    let act = Apply { expected: 0, operation: "apply".into(), source };
    agent.apply(act).await.expect("an empty table takes the first configuration");
}

/// Changes the preset; the platform goes down right after the commit.
async fn change(cluster: &Cluster) {
    let agent = cluster.agent(1).expect("a running agent");
    let act = UsePreset { expected: 1, operation: "change".into(), preset: "peak".into() };
    tokio::spawn(async move { agent.use_preset(act).await });
    cluster.clock.sleep(Millis(1)).await;
    cluster.platform.inject(store::fake::Fault::Down);
}

/// The times after the commit at which VMs had the change, sorted.
async fn wait(cluster: &Cluster, committed: Millis) -> Vec<Millis> {
    let deadline = committed + PATIENCE;
    let everybody = cluster.running().len();
    loop {
        cluster.clock.sleep(Millis(500)).await;
        let mut times: Vec<Millis> = Vec::new();
        let mut done = vec![false; everybody];
        for observation in cluster.observations().all() {
            if observation.version >= 2 && !std::mem::replace(&mut done[observation.vm], true) {
                times.push(observation.at - committed);
            }
        }
        if times.len() == everybody || cluster.clock.now() >= deadline {
            times.sort();
            return times;
        }
    }
}

fn sent(cluster: &Cluster) -> Vec<f64> {
    let sent = |vm| {
        let traffic = cluster.network.traffic(address(vm));
        (traffic.sent_bytes + traffic.messages * HTTP_BYTES) as f64
    };
    cluster.running().into_iter().map(sent).collect()
}

fn difference(before: &[f64], after: &[f64]) -> Vec<f64> {
    before.iter().zip(after).map(|(before, after)| after - before).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
