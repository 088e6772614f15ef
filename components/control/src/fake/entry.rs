use super::{Cluster, DEMAND, address};
use crate::Agent;
use clock::{Clock, Millis};
use peer::fake::Network;
use peer::local::{Demand, Report, Source, StampedSnapshot, merge};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use steering::sample;
use steering::{Plan, SHARE_SCALE, Snapshot, Stamp};
use tokio::task::JoinHandle;

/// The snapshots that the stand-in `entryd` processes of a fleet have received, in order.
#[derive(Clone)]
pub struct Observations {
    clock: Clock,
    observations: Arc<Mutex<Vec<Observation>>>,
}

/// A snapshot that an `entryd` has received.
#[derive(Clone, Debug)]
pub struct Observation {
    /// When it was received.
    pub at: Millis,
    /// The number of the VM.
    pub vm: usize,
    /// The incarnation of the `entryd`.
    pub incarnation: u64,
    /// The configuration version.
    pub version: u64,
    /// The name of the preset in force.
    pub preset: Arc<str>,
    /// The epoch and sequence of the plan.
    pub plan: Stamp,
    /// The digest of the plan's encoded form.
    pub plan_digest: blake3::Hash,
}

impl Observations {
    pub(super) fn new(clock: Clock) -> Observations {
        Observations { clock, observations: Arc::default() }
    }

    fn add(&self, vm: usize, incarnation: u64, snapshot: &Snapshot) {
        let observation = Observation {
            at: self.clock.now(),
            vm,
            incarnation,
            version: snapshot.version,
            preset: Arc::clone(&snapshot.preset.name),
            plan: snapshot.plan.stamp(),
            plan_digest: digest(&snapshot.plan),
        };
        self.lock().push(observation);
    }

    /// All observations so far.
    pub fn all(&self) -> Vec<Observation> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Observation>> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The digest of a plan's encoded form.
pub fn digest(plan: &Plan) -> blake3::Hash {
    blake3::hash(&rmp_serde::to_vec(plan).unwrap_or_default())
}

/// A stand-in `entryd`: it receives snapshots and sends reports, and handles no requests.
pub(super) struct Entry {
    runner: Arc<Runner>,
    task: JoinHandle<()>,
}

struct Runner {
    network: Arc<Network>,
    clock: Clock,
    observations: Observations,
    number: usize,
    address: SocketAddr,
    incarnation: u64,
    state: Mutex<State>,
}

struct State {
    agent: Arc<Agent>,
    held: Option<StampedSnapshot>,
    leaving: bool,
    leaving_upstreams: Vec<Arc<str>>,
}

impl Entry {
    pub(super) fn start(
        cluster: &Cluster,
        number: usize,
        agent: Arc<Agent>,
        incarnation: u64,
    ) -> Entry {
        let runner = Arc::new(Runner {
            network: Arc::clone(&cluster.network),
            clock: cluster.clock,
            observations: cluster.observations.clone(),
            number,
            address: address(number),
            incarnation,
            state: Mutex::new(State {
                agent,
                held: None,
                leaving: false,
                leaving_upstreams: Vec::new(),
            }),
        });
        let task = tokio::spawn(Arc::clone(&runner).run());
        Entry { runner, task }
    }

    /// Sets the agent to request snapshots from.
    pub(super) fn set_agent(&self, agent: Arc<Agent>) {
        self.runner.state().agent = agent;
    }

    /// The latest snapshot received.
    pub(super) fn held_snapshot(&self) -> Option<Arc<Snapshot>> {
        self.runner.state().held.as_ref().map(|held| Arc::clone(&held.snapshot))
    }

    /// Makes the reports say that this `entryd` is shutting down.
    pub(super) fn leave(&self) {
        self.runner.state().leaving = true;
    }

    /// Sets the upstreams to report as leaving.
    pub(super) fn report_leaving(&self, upstreams: &[&str]) {
        let upstreams = upstreams.iter().map(|name| Arc::from(*name)).collect();
        self.runner.state().leaving_upstreams = upstreams;
    }

    pub(super) fn kill(self) {
        self.task.abort();
    }
}

impl Runner {
    async fn run(self: Arc<Runner>) {
        loop {
            self.network.wait_while_paused(self.address).await;
            let agent = Arc::clone(&self.state().agent);
            let stamped = agent.next(self.report()).await;
            self.network.wait_while_paused(self.address).await;
            match stamped {
                Some(stamped) => self.install(stamped),
                None => self.clock.sleep(Millis(1)).await,
            }
        }
    }

    fn report(&self) -> Report {
        let state = self.state();
        let plan = state.held.as_ref().map(|held| &held.snapshot.plan);
        let vm = sample::vm(self.number);
        let region = vm.domain.split('-').next().unwrap_or_default();
        Report {
            vm: Arc::clone(&vm.name),
            incarnation: self.incarnation,
            stamp: state.held.as_ref().map(|held| held.stamp),
            epoch: plan.map_or(0, |plan| plan.epoch),
            sequence: plan.map_or(0, |plan| plan.sequence),
            shift: plan.map_or(0, |plan| plan.shift),
            settled: SHARE_SCALE,
            leaving: state.leaving,
            in_flight: 0,
            demand: vec![Demand { region: region.into(), rate: f64::from(DEMAND) }],
            moving: 0,
            leaving_upstreams: state.leaving_upstreams.clone(),
        }
    }

    fn install(&self, stamped: StampedSnapshot) {
        let mut state = self.state();
        let snapshot = match &state.held {
            Some(held) => Arc::new(merge(&held.snapshot, &stamped.snapshot)),
            None => stamped.snapshot,
        };
        self.observations.add(self.number, self.incarnation, &snapshot);
        state.held = Some(StampedSnapshot { stamp: stamped.stamp, snapshot });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
