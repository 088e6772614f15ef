//! A world of three entry VMs over fakes in virtual time, driven by a session or a random schedule.

mod call;
mod layout;
mod transcript;

pub use call::Call;
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

/// The start of sessions: entry VMs admit nothing in their first second.
pub const START: Millis = Millis::from_secs(1);

/// The settings, services and upstreams of a world.
pub struct Setup {
    /// The interval between two load queries to an upstream.
    pub poll_interval: Millis,
    /// The interval at which shifts and drains advance while no requests arrive.
    pub tick_interval: Millis,
    /// The services and their classes.
    pub services: &'static [(&'static str, Class)],
    /// Upstreams of each service, spread evenly over the failure domains.
    pub upstreams: u16,
}

pub struct EntryVm {
    pub process: Process,
    pub entry: Entry,
}

pub struct World {
    pub clock: Clock,
    poll_interval: Millis,
    tick_interval: Millis,
    pub platform: Arc<Platform>,
    pub fleet: Arc<Fleet>,
    pub relays: Arc<RelayNetwork>,
    pub vms: BTreeMap<String, EntryVm>,
    pub transcript: Transcript,
    /// The running calls, by name.
    pub calls: BTreeMap<String, JoinHandle<()>>,
    snapshot: Snapshot,
}

impl World {
    /// Starts the entry VMs `e1` to `e3` and the upstreams of `setup`.
    pub async fn new(setup: &Setup) -> World {
        let clock = Clock::at(Millis::ZERO);
        let snapshot = layout::snapshot(setup);
        let mut world = World {
            clock,
            poll_interval: setup.poll_interval,
            tick_interval: setup.tick_interval,
            platform: Platform::new(clock),
            fleet: layout::fleet(&snapshot, clock),
            relays: RelayNetwork::new(clock, RELAY_DELAY),
            vms: BTreeMap::new(),
            transcript: Transcript::default(),
            calls: BTreeMap::new(),
            snapshot,
        };
        for name in ["e1", "e2", "e3"] {
            world.spawn_entry(name, 1);
        }
        world.install();
        clock.sleep(START).await;
        world
    }

    /// Starts the entry VM `name` in a new incarnation, which replaces the former one.
    pub fn start(&mut self, name: &str, incarnation: u64) {
        self.spawn_entry(name, incarnation);
        self.install();
    }

    fn spawn_entry(&mut self, name: &str, incarnation: u64) {
        let vm = self.vm_mut(name);
        vm.incarnation = incarnation;
        vm.state = State::Live;
        let (domain, relay) = (Arc::clone(&vm.domain), vm.relay);
        let process = Process::new();
        let settings = Settings::new(name.into(), domain, incarnation, PEER_KEY.into());
        let settings = Settings {
            poll_interval: self.poll_interval,
            tick_interval: self.tick_interval,
            ..settings
        };
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
        self.vms.insert(name.into(), EntryVm { process, entry });
    }

    /// Pauses, continues or kills an entry VM; callers of a killed one lose their connection.
    pub fn set_mode(&mut self, name: &str, mode: Mode) {
        self.vms[name].process.set_mode(mode);
    }

    /// Shuts an entry VM down gracefully and records when it has ended.
    pub fn stop(&mut self, name: &str) {
        self.vm_mut(name).state = State::Leaving;
        let entry = self.vms[name].entry.clone();
        let (clock, transcript) = (self.clock, self.transcript.clone());
        let line = format!("{name} ended");
        tokio::spawn(async move {
            entry.close().await;
            transcript.record(clock.now(), &line);
        });
        self.install();
    }

    /// Sets the state of an upstream in the snapshot.
    pub fn set_upstream_state(&mut self, name: &str, state: State) {
        for upstream in &mut self.snapshot.upstreams {
            if &*upstream.name == name {
                upstream.state = state;
            }
        }
        self.install();
    }

    /// Sets the state of an entry VM in the snapshot.
    pub fn set_vm_state(&mut self, name: &str, state: State) {
        self.vm_mut(name).state = state;
        self.install();
    }

    /// The upstreams that a drain of `target` affects.
    fn drained_upstreams(&self, target: &Target) -> Vec<String> {
        let drained = |upstream: &&steering::Upstream| match target {
            Target::Vm(name) => *name == upstream.name,
            Target::Domain(name) => *name == upstream.domain,
            Target::Region(_) => false,
        };
        let upstreams = self.snapshot.upstreams.iter().filter(drained);
        upstreams.map(|upstream| upstream.name.to_string()).collect()
    }

    /// Plans a drain and returns the upstreams that it affects.
    pub fn plan_drain(&mut self, drain: settings::Drain) -> Vec<String> {
        let drained = self.drained_upstreams(&drain.target);
        self.snapshot.drains.push(drain);
        self.install();
        drained
    }

    /// The address of an upstream.
    pub fn address(&self, name: &str) -> SocketAddr {
        let mut upstreams = self.snapshot.upstreams.iter();
        upstreams.find(|upstream| &*upstream.name == name).expect("a known upstream").address
    }

    /// The fake of an upstream.
    pub fn fake_upstream(&self, name: &str) -> Arc<upstream::fake::Server> {
        self.fleet.get(self.address(name)).expect("a known upstream")
    }

    fn install(&self) {
        let snapshot = Arc::new(self.snapshot.clone());
        for vm in self.vms.values() {
            vm.entry.install(Arc::clone(&snapshot));
        }
    }

    fn vm_mut(&mut self, name: &str) -> &mut steering::Vm {
        let mut vms = self.snapshot.vms.iter_mut();
        vms.find(|vm| &*vm.name == name).expect("a known entry VM")
    }

    /// Sends a request and records its response when it arrives.
    pub fn send(&mut self, call: Call) {
        let name = call.name.clone();
        let vm = &self.vms[&call.via];
        let (entry, process) = (vm.entry.clone(), vm.process.clone());
        let (clock, transcript) = (self.clock, self.transcript.clone());
        let task = tokio::spawn(async move {
            let disconnected = format!("{} lost its connection", call.name);
            let line = tokio::select! {
                biased;
                () = process.wait_killed() => disconnected,
                line = respond(call, &entry, &process) => line,
            };
            transcript.record(clock.now(), &line);
        });
        self.calls.insert(name, task);
    }

    /// The order prefix that the entry VM `via` returns with a look-up.
    pub fn prefix(&self, via: &str, block: u32) -> Result<Arc<str>, String> {
        let query = caller::lookup::Query { block, service: "orders".into(), token: None };
        let answer = self.vms[via].entry.look_up(&query);
        answer.map(|answer| answer.order_prefix).map_err(|refusal| refusal.error.to_string())
    }

    /// Checks that no order ran twice and that no request ran that was refused as not run.
    pub fn check(&self) -> Result<(), String> {
        let ran = self.fleet.runs();
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
            Some(run) => Err(format!("{} was refused as not run but ran", run.request)),
            None => Ok(()),
        }
    }
}

// A paused entry VM accepts requests and writes responses only once it continues.
async fn respond(call: Call, entry: &Entry, process: &Process) -> String {
    process.wait_running().await;
    let line = call.run(entry).await;
    process.wait_running().await;
    line
}
