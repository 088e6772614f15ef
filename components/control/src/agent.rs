use crate::Roster;
use crate::setup::{Platform, Settings};
use crate::state::State;
use peer::Transport;
use peer::local::StampedSnapshot;
use peer::message::Record;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use steering::{Plan, Vm};
use tokio::sync::{Notify, watch};

/// The agent of one VM: its state, and the handlers for peers, operators and the VM's `entryd`.
///
/// [`crate::Control`] runs its tasks.
pub struct Agent {
    pub(crate) settings: Settings,
    pub(crate) platform: Platform,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) snapshots: watch::Sender<Option<StampedSnapshot>>,
    /// Wakes the task that publishes snapshots.
    pub(crate) snapshot_due: Notify,
    /// Wakes the task that fetches updates from peers.
    pub(crate) fetch_due: Notify,
    /// Wakes the task that pushes updates to peers.
    pub(crate) push_due: Notify,
    state: Mutex<State>,
}

impl Agent {
    /// An agent whose roster holds only its own VM and that has no configuration yet.
    pub fn new(settings: Settings, platform: Platform, transport: Arc<dyn Transport>) -> Agent {
        let state = State {
            roster: Roster::new(own_record(&settings)),
            installed: None,
            plan: Arc::new(Plan::default()),
            stamps: BTreeMap::new(),
            updates: BTreeMap::new(),
            pending_pushes: Vec::new(),
            report: None,
            loads: BTreeMap::new(),
            lease: None,
            platform_up: false,
            random: SmallRng::seed_from_u64(settings.seed),
        };
        Agent {
            settings,
            platform,
            transport,
            snapshots: watch::channel(None).0,
            snapshot_due: Notify::new(),
            fetch_due: Notify::new(),
            push_due: Notify::new(),
            state: Mutex::new(state),
        }
    }

    /// The name of the VM that this agent runs on.
    pub fn name(&self) -> Arc<str> {
        Arc::clone(&self.settings.node.vm)
    }

    /// The versions of the configuration and of the plan that the agent has installed.
    pub fn stamp(&self) -> peer::message::Stamp {
        self.state().stamp()
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn own_record(settings: &Settings) -> Record {
    let node = &settings.node;
    let vm = Vm {
        name: Arc::clone(&node.vm),
        incarnation: 0,
        domain: Arc::clone(&node.domain),
        caller: node.caller,
        relay: node.relay,
        peer: node.peer,
        state: steering::State::Live,
    };
    Record { vm, beat: settings.incarnation }
}
