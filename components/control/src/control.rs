use crate::setup::Platform;
use crate::{Agent, Settings};
use clock::Millis;
use peer::Transport;
use peer::local::Issue;
use std::sync::Arc;
use steering::State;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// How long a stop waits for the VM's `entryd` to finish what it has in flight.
const CLOSE_GRACE: Millis = Millis(30_000);

/// How long the mark of leaving is passed on before the agent ends.
const FAREWELL: Millis = Millis(1500);

/// An `entryd` that hasn't reported for this long is dead.
const REPORT_LIMIT: Millis = Millis(4000);

/// A running agent.
pub struct Control {
    agent: Arc<Agent>,
    tasks: JoinSet<()>,
}

impl Control {
    /// Starts an agent; its tasks end when the `Control` is closed or dropped.
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

    /// The agent, which answers peers, operators and `entryd`.
    pub fn agent(&self) -> Arc<Agent> {
        Arc::clone(&self.agent)
    }

    /// The snapshots as they are published; `None` until there is a configuration.
    pub fn snapshots(&self) -> watch::Receiver<Option<Issue>> {
        self.agent.snapshots.subscribe()
    }

    /// Stops gracefully: tells the fleet, waits for `entryd`, then ends the tasks.
    pub async fn close(mut self) {
        self.agent.leave();
        self.agent.release_lease().await;
        let clock = self.agent.settings.clock;
        let deadline = clock.now() + CLOSE_GRACE;
        clock.sleep(FAREWELL).await;
        while clock.now() < deadline && self.agent.entry_is_busy() {
            clock.sleep(Millis(200)).await;
        }
        self.tasks.shutdown().await;
    }
}

async fn run(agent: Arc<Agent>) {
    let mut tasks = JoinSet::new();
    tasks.spawn(Arc::clone(&agent).pass_rumours());
    tasks.spawn(Arc::clone(&agent).announce_news());
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.beat().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.fetch_news().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.poll_platform().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.publish_snapshots().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.report_load().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.plan().await });
    let runner = Arc::clone(&agent);
    tasks.spawn(async move { runner.measure().await });
    while tasks.join_next().await.is_some() {}
}

impl Agent {
    /// States that this VM takes no new work.
    fn leave(&self) {
        self.state().roster.state_own(|vm| vm.state = State::Leaving);
        self.changed.notify_one();
    }

    fn entry_is_busy(&self) -> bool {
        let now = self.settings.clock.now();
        let state = self.state();
        let Some(heard) = &state.report else { return false };
        heard.report.in_flight > 0 && now - heard.at < REPORT_LIMIT
    }
}
