use crate::Scenario;
use clock::Millis;
use control::Dissemination;
use control::fake::{Cluster, address, delays};
use operator::Api;
use operator::wire::{Apply, UsePreset};
use std::sync::Arc;
use tokio::runtime::Builder;

/// Time that a fleet runs before the measurement starts.
const WARM_UP: Millis = Millis(20_000);

/// Time for which the traffic of the idle fleet is measured.
const IDLE_SPAN: Millis = Millis(10_000);

/// The run ends when a change has not reached every VM within this time.
const CHANGE_TIMEOUT: Millis = Millis(10_000);

/// HTTP start line and headers of each message or response, in bytes.
const HTTP_HEAD_BYTES: u64 = 130;

/// A fleet of control agents in which one change is disseminated while the platform is down.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The deployment, which sets the network delays.
    pub scenario: Scenario,
    /// Number of entry VMs.
    pub vms: usize,
    /// The share of messages, and of responses, that is lost (0 to 1).
    pub loss: f64,
}

/// Time and traffic that one change took.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Time until half of the VMs had the change, in seconds; the time-out if they never had it.
    pub half_seconds: f64,
    /// Time until all VMs had the change, in seconds; the time-out if some never had it.
    pub all_seconds: f64,
    /// Number of VMs that did not have the change before the time-out.
    pub missed: usize,
    /// Bytes per second that a VM sent on average before the change.
    pub idle_bytes_per_second: f64,
    /// Bytes that a VM sent on average because of the change.
    pub change_bytes: f64,
    /// Bytes that the VM with the most traffic sent because of the change.
    pub max_change_bytes: f64,
}

/// Runs `fleet` with `dissemination` and measures one change.
///
/// # Panics
///
/// If the runtime can't be built or the fleet refuses the first configuration.
pub fn run(fleet: Fleet, dissemination: Arc<dyn Dissemination>, seed: u64) -> Measurement {
    let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime without I/O").block_on(measure(fleet, dissemination, seed))
}

async fn measure(fleet: Fleet, dissemination: Arc<dyn Dissemination>, seed: u64) -> Measurement {
    let mut cluster = Cluster::new(fleet.vms, seed);
    cluster.set_dissemination(dissemination);
    cluster.network.set_delay(delays(fleet.scenario.link_delay()));
    cluster.start_all();
    apply(&cluster).await;
    cluster.network.set_loss(fleet.loss);
    cluster.clock.sleep(WARM_UP).await;
    let before = sent(&cluster);
    cluster.clock.sleep(IDLE_SPAN).await;
    let idle = mean(&difference(&before, &sent(&cluster))) / IDLE_SPAN.as_secs_f64();
    let before = sent(&cluster);
    let committed = cluster.clock.now();
    change_preset(&cluster).await;
    let times = wait_for_change(&cluster, committed).await;
    let span = (cluster.clock.now() - committed).as_secs_f64();
    let bytes: Vec<f64> =
        difference(&before, &sent(&cluster)).iter().map(|bytes| bytes - idle * span).collect();
    Measurement {
        half_seconds: times.get(fleet.vms / 2).map_or(CHANGE_TIMEOUT, |at| *at).as_secs_f64(),
        all_seconds: times.get(fleet.vms - 1).map_or(CHANGE_TIMEOUT, |at| *at).as_secs_f64(),
        missed: fleet.vms - times.len(),
        idle_bytes_per_second: idle,
        change_bytes: mean(&bytes),
        max_change_bytes: bytes.iter().copied().fold(0.0, f64::max),
    }
}

async fn apply(cluster: &Cluster) {
    let source = settings::write(&cluster.declaration());
    let agent = cluster.agent(0).expect("a running agent");
    let change = Apply { expected: 0, operation: "apply".into(), source };
    agent.apply(change).await.expect("an empty table takes the first configuration");
}

/// Changes the preset and takes the platform down right after the commit.
async fn change_preset(cluster: &Cluster) {
    let agent = cluster.agent(1).expect("a running agent");
    let change = UsePreset { expected: 1, operation: "change".into(), preset: "peak".into() };
    tokio::spawn(async move { agent.use_preset(change).await });
    cluster.clock.sleep(Millis(1)).await;
    cluster.platform.inject(store::fake::Fault::Down);
}

/// Waits until every VM has the change or the time-out has passed. Returns the delays from the
/// commit to the VMs that have it, sorted.
async fn wait_for_change(cluster: &Cluster, committed: Millis) -> Vec<Millis> {
    let deadline = committed + CHANGE_TIMEOUT;
    let running = cluster.running().len();
    loop {
        cluster.clock.sleep(Millis(500)).await;
        let mut times: Vec<Millis> = Vec::new();
        let mut seen = vec![false; running];
        for observation in cluster.observations().all() {
            if observation.version >= 2 && !std::mem::replace(&mut seen[observation.vm], true) {
                times.push(observation.at - committed);
            }
        }
        if times.len() == running || cluster.clock.now() >= deadline {
            times.sort();
            return times;
        }
    }
}

/// Bytes that each running VM has sent so far, HTTP heads included.
fn sent(cluster: &Cluster) -> Vec<f64> {
    let sent = |vm| {
        let traffic = cluster.network.traffic(address(vm));
        (traffic.sent_bytes + traffic.messages * HTTP_HEAD_BYTES) as f64
    };
    cluster.running().into_iter().map(sent).collect()
}

fn difference(before: &[f64], after: &[f64]) -> Vec<f64> {
    before.iter().zip(after).map(|(before, after)| after - before).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}
