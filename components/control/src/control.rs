use crate::setup::Platform;
use crate::{Agent, Settings};
use clock::Millis;
use peer::Transport;
use peer::local::StampedSnapshot;
use std::sync::Arc;
use steering::State;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// How long a graceful stop waits for the VM's `entryd` to finish its requests in flight.
const SHUTDOWN_TIMEOUT: Millis = Millis(30_000);

/// How long the agent keeps running after it was marked as leaving, so that its peers learn of it.
const LEAVING_GOSSIP_TIME: Millis = Millis(1500);

/// An `entryd` that hasn't reported for this long is considered dead.
const REPORT_TIMEOUT: Millis = Millis(4000);

/// A running agent and its background tasks.
pub struct Control {
    agent: Arc<Agent>,
    tasks: JoinSet<()>,
}

impl Control {
    /// Starts an agent; its tasks stop when the `Control` is closed or dropped.
    pub fn start(settings: Settings, platform: Platform, transport: Arc<dyn Transport>) -> Control {
        let agent = Arc::new(Agent::new(settings, platform, transport));
        let mut tasks = JoinSet::new();
        let runner = Arc::clone(&agent);
        tasks.spawn(async move {
            runner.bootstrap().await;
            run(runner).await;
        });
        Control { agent, tasks }
    }

    /// The agent, which handles requests of peers, operators and `entryd`.
    pub fn agent(&self) -> Arc<Agent> {
        Arc::clone(&self.agent)
    }

    /// The latest published snapshot; `None` until there is a configuration.
    pub fn snapshots(&self) -> watch::Receiver<Option<StampedSnapshot>> {
        self.agent.snapshots.subscribe()
    }

    /// Stops gracefully: marks the VM as leaving, releases the planner's lease, waits up to 30 s
    /// for `entryd` to finish its requests, then stops the tasks.
    pub async fn close(mut self) {
        self.agent.leave();
        self.agent.release_lease().await;
        let clock = self.agent.settings.clock;
        let deadline = clock.now() + SHUTDOWN_TIMEOUT;
        clock.sleep(LEAVING_GOSSIP_TIME).await;
        while clock.now() < deadline && self.agent.entry_is_busy() {
            clock.sleep(Millis(200)).await;
        }
        self.tasks.shutdown().await;
    }
}

async fn run(agent: Arc<Agent>) {
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&agent).gossip_changes());
    tasks.spawn(Arc::clone(&agent).push_updates());
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.run_heartbeats().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.fetch_updates().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.poll_platform().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.publish_snapshots().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.report_load().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.run_planner().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.run_metrics().await });
    while tasks.join_next().await.is_some() {}
}

impl Agent {
    /// Marks this VM as leaving, so that callers are sent elsewhere.
    fn leave(&self) {
        self.state().roster.update_own(|vm| vm.state = State::Leaving);
        self.snapshot_due.notify_one();
    }

    fn entry_is_busy(&self) -> bool {
        let now = self.settings.clock.now();
        let state = self.state();
        let Some(last) = &state.report else { return false };
        last.report.in_flight > 0 && now - last.received_at < REPORT_TIMEOUT
    }
}
