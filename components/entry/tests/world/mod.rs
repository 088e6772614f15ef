//! Entry VMs over fakes in virtual time, driven by the steps of a session or a schedule.

mod ask;
mod layout;
mod transcript;

pub use ask::Ask;
pub use transcript::Transcript;

use caller::{Handler, Method};
use clock::{Clock, Millis};
use entry::fake::{Mode, Process, RelayNetwork};
use entry::{Entry, Settings};
use settings::{Class, Target};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::{Snapshot, State};
use store::fake::Platform;
use tokio::task::JoinHandle;
use upstream::fake::Fleet;

const PEER_KEY: &str = "the key that all entry VMs of a session share";
const SEED: u64 = 7;
const RELAY_DELAY: Millis = Millis(2);

/// Entry VMs admit nothing in their first second; sessions begin after it.
pub const START: Millis = Millis::from_secs(1);

/// What a world holds besides its entry VMs.
pub struct Setup {
    /// How often entry VMs ask upstreams for their load.
    pub poll: Millis,
    /// How often they take the steps of shifts.
    pub tick: Millis,
    /// The services and their classes.
    pub services: &'static [(&'static str, Class)],
    /// Upstreams of each service, spread evenly over the failure domains.
    pub upstreams: u16,
}

pub struct Node {
    pub process: Process,
    pub entry: Entry,
}

pub struct World {
    pub clock: Clock,
    poll: Millis,
    tick: Millis,
    pub platform: Arc<Platform>,
    pub fleet: Arc<Fleet>,
    pub relays: Arc<RelayNetwork>,
    pub nodes: BTreeMap<String, Node>,
    pub transcript: Transcript,
    pub callers: BTreeMap<String, JoinHandle<()>>,
    snapshot: Snapshot,
}

impl World {
    /// Three entry VMs `e1` to `e3`, and the upstreams of `setup`.
    pub async fn new(setup: &Setup) -> World {
        let clock = Clock::at(Millis::ZERO);
        let snapshot = layout::snapshot(setup);
        let mut world = World {
            clock,
            poll: setup.poll,
            tick: setup.tick,
            platform: Platform::new(clock),
            fleet: layout::fleet(&snapshot, clock),
            relays: RelayNetwork::new(clock, RELAY_DELAY),
            nodes: BTreeMap::new(),
            transcript: Transcript::default(),
            callers: BTreeMap::new(),
            snapshot,
        };
        for name in ["e1", "e2", "e3"] {
            world.open(name, 1);
        }
        world.install();
        clock.sleep(START).await;
        world
    }

    /// Starts the entry VM `name`, in place of the one that ran there.
    pub fn start(&mut self, name: &str, incarnation: u64) {
        self.open(name, incarnation);
        self.install();
    }

    fn open(&mut self, name: &str, incarnation: u64) {
        let vm = self.vm_mut(name);
        vm.incarnation = incarnation;
        vm.state = State::Live;
        let (domain, relay) = (Arc::clone(&vm.domain), vm.relay);
        let process = Process::new();
        let settings = Settings::new(name.into(), domain, incarnation, PEER_KEY.into());
        let settings = Settings { poll_interval: self.poll, tick_interval: self.tick, ..settings };
        let transport: Arc<dyn upstream::Transport> = Arc::clone(&self.fleet) as _;
        let entry = Entry::new(
            settings,
            self.clock,
            SEED + incarnation,
            process.wrap_transport(transport),
            process.wrap_table(self.platform.client(name)),
            Arc::clone(&self.relays) as _,
        );
        self.relays.attach(relay, process.clone(), entry.clone());
        self.nodes.insert(name.into(), Node { process, entry });
    }

    /// Pauses, continues or kills an entry VM; callers of a killed one lose their connection.
    pub fn set(&mut self, name: &str, mode: Mode) {
        self.nodes[name].process.set_mode(mode);
    }

    /// Stops an entry VM gracefully and notes when it has ended.
    pub fn stop(&mut self, name: &str) {
        self.vm_mut(name).state = State::Leaving;
        let entry = self.nodes[name].entry.clone();
        let (clock, transcript) = (self.clock, self.transcript.clone());
        let line = format!("{name} ended");
        tokio::spawn(async move {
            entry.close().await;
            transcript.note(clock.now(), &line);
        });
        self.install();
    }

    /// Changes what the configuration says of an upstream.
    pub fn set_upstream(&mut self, name: &str, state: State) {
        for upstream in &mut self.snapshot.upstreams {
            if &*upstream.name == name {
                upstream.state = state;
            }
        }
        self.install();
    }

    /// Changes what the snapshot says of an entry VM.
    pub fn set_vm(&mut self, name: &str, state: State) {
        self.vm_mut(name).state = state;
        self.install();
    }

    /// The upstreams that a drain of `target` empties.
    fn upstreams_of(&self, target: &Target) -> Vec<String> {
        let drained = |upstream: &&steering::Upstream| match target {
            Target::Vm(name) => *name == upstream.name,
            Target::Domain(name) => *name == upstream.domain,
            Target::Region(_) => false,
        };
        let upstreams = self.snapshot.upstreams.iter().filter(drained);
        upstreams.map(|upstream| upstream.name.to_string()).collect()
    }

    /// Plans a drain and returns the upstreams that it empties.
    pub fn plan_drain(&mut self, drain: settings::Drain) -> Vec<String> {
        let drained = self.upstreams_of(&drain.target);
        self.snapshot.drains.push(drain);
        self.install();
        drained
    }

    /// The address of an upstream.
    pub fn address(&self, name: &str) -> SocketAddr {
        let mut upstreams = self.snapshot.upstreams.iter();
        upstreams.find(|upstream| &*upstream.name == name).expect("a known upstream").address
    }

    /// The stand-in of an upstream.
    pub fn server(&self, name: &str) -> Arc<upstream::fake::Server> {
        self.fleet.get(self.address(name)).expect("a known upstream")
    }

    fn install(&self) {
        let snapshot = Arc::new(self.snapshot.clone());
        for node in self.nodes.values() {
            node.entry.install(Arc::clone(&snapshot));
        }
    }

    fn vm_mut(&mut self, name: &str) -> &mut steering::Vm {
        let mut vms = self.snapshot.vms.iter_mut();
        vms.find(|vm| &*vm.name == name).expect("a known entry VM")
    }

    /// Sends a request and notes its answer when it comes.
    pub fn ask(&mut self, ask: Ask) {
        let name = ask.name.clone();
        let node = &self.nodes[&ask.via];
        let (entry, process) = (node.entry.clone(), node.process.clone());
        let (clock, transcript) = (self.clock, self.transcript.clone());
        let call = tokio::spawn(async move {
            let lost = format!("{} lost its connection", ask.name);
            let line = tokio::select! {
                biased;
                () = process.wait_killed() => lost,
                line = answer(ask, &entry, &process) => line,
            };
            transcript.note(clock.now(), &line);
        });
        self.callers.insert(name, call);
    }

    /// The order prefix that an entry VM gives callers.
    pub fn prefix(&self, via: &str, block: u32) -> Result<Arc<str>, String> {
        let query = caller::lookup::Query { block, service: "orders".into(), token: None };
        let answer = self.nodes[via].entry.look_up(&query);
        answer.map(|answer| answer.order_prefix).map_err(|refusal| refusal.error.to_string())
    }

    /// Breaks the promise's invariants down into errors: no order twice, no refusal untrue.
    pub fn check(&self) -> Result<(), String> {
        let ran = self.fleet.ran();
        if ran.iter().any(|run| run.method == Method::POST && run.order.is_empty()) {
            return Err("an order ran without its id".into());
        }
        let mut orders = BTreeMap::new();
        for run in ran.iter().filter(|run| !run.order.is_empty()) {
            *orders.entry(&run.order).or_insert(0) += 1;
        }
        if let Some((order, times)) = orders.iter().find(|(_, times)| **times > 1) {
            return Err(format!("order {order} ran {times} times"));
        }
        let refused = self.transcript.not_run();
        match ran.iter().find(|run| refused.contains(&run.request)) {
            Some(run) => Err(format!("{} was refused as not run and ran", run.request)),
            None => Ok(()),
        }
    }
}

// A paused entry VM takes requests and writes answers only once it goes on.
async fn answer(ask: Ask, entry: &Entry, process: &Process) -> String {
    process.wait_running().await;
    let line = ask.run(entry).await;
    process.wait_running().await;
    line
}
