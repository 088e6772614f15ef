//! A fleet of agents over the in-memory network and platform, in virtual time.
//!
//! Sessions, property tests and the benches share it. What a session asserts comes from the
//! stand-in `entryd` of each VM, which logs every snapshot that it was given.

mod entry;
mod gate;
pub mod verdict;

pub use entry::{Observation, Observations, digest};

use crate::dissemination::Fanout;
use crate::{Agent, Control, Dissemination, Platform, Settings};
use clock::{Clock, Millis};
use entry::Entry;
use gate::Gate;
use peer::fake::{Delay, Network};
use settings::{Class, Declaration, Node, Preset, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::Snapshot;
use steering::sample::{self, Size};
use store::fake::Platform as Fake;
use store::{Machine, Role};

/// When the sample's drains and clocks begin, in milliseconds since the Unix epoch.
pub const START: Millis = Millis(1_800_000_000_000);

/// One-way delay between VMs of one region.
const DOMAIN_DELAY: Millis = Millis(4);

/// One-way delay between VMs of two regions.
const REGION_DELAY: Millis = Millis(55);

/// Requests a second that a sample region takes.
const CAPACITY: u32 = 1000;

/// Requests a second that the sample presets let move into one region.
const SHIFT_CAP: u32 = 100;

/// Requests a second that callers ask of each VM.
const DEMAND: u32 = 50;

/// A fleet of entry VMs.
pub struct Cluster {
    /// The clock of all VMs.
    pub clock: Clock,
    /// The network between the VMs.
    pub network: Arc<Network>,
    /// The platform.
    pub platform: Arc<Fake>,
    size: Size,
    seed: u64,
    dissemination: Arc<dyn Dissemination>,
    incarnation: u64,
    vms: BTreeMap<usize, Running>,
    seen: Observations,
}

struct Running {
    control: Control,
    entry: Entry,
}

impl Cluster {
    /// A fleet of `vms` that isn't started; regions are 55 ms apart.
    pub fn new(vms: usize, seed: u64) -> Cluster {
        let clock = Clock::at(START);
        let network = Network::new(seed);
        network.set_delay(delays(REGION_DELAY));
        Cluster {
            clock,
            network,
            platform: Fake::new(clock),
            size: Size { vms, ..Size::TODAY },
            seed,
            dissemination: Arc::new(Fanout::default()),
            incarnation: START.0,
            vms: BTreeMap::new(),
            seen: Observations::new(clock),
        }
    }

    /// Passes news on in another way.
    pub fn set_dissemination(&mut self, dissemination: Arc<dyn Dissemination>) {
        self.dissemination = dissemination;
    }

    /// Lists every VM at the platform and starts it.
    pub fn start_all(&mut self) {
        for number in 0..self.size.vms {
            self.platform.enlist(machine(number));
        }
        for number in 0..self.size.vms {
            self.start(number);
        }
    }

    /// Starts the VM of this number, with nothing in its memory.
    pub fn start(&mut self, number: usize) {
        self.incarnation += 1;
        let control = self.control(number);
        let entry = Entry::start(self, number, control.agent(), self.incarnation);
        self.vms.insert(number, Running { control, entry });
    }

    /// Restarts only the agent of the VM; its `entryd` keeps what it has.
    pub fn restart_agent(&mut self, number: usize) {
        self.incarnation += 1;
        let control = self.control(number);
        if let Some(vm) = self.vms.get_mut(&number) {
            vm.entry.follow(control.agent());
            vm.control = control;
        }
    }

    fn control(&self, number: usize) -> Control {
        let address = address(number);
        let client = self.platform.client(&sample::vm(number).name);
        let gate = Arc::new(Gate::new(client, Arc::clone(&self.network), address));
        let settings = Settings {
            node: self.node(number),
            incarnation: self.incarnation,
            seed: self.seed ^ self.incarnation,
            dissemination: Arc::clone(&self.dissemination),
            clock: self.clock,
        };
        let platform = Platform {
            table: Arc::clone(&gate) as Arc<dyn store::Table>,
            store: Arc::clone(&gate) as Arc<dyn store::Store>,
            directory: gate,
        };
        let control = Control::start(settings, platform, self.network.transport(address));
        self.network.attach(address, control.agent());
        control
    }

    /// Kills the VM of this number.
    pub fn kill(&mut self, number: usize) {
        self.network.detach(address(number));
        if let Some(vm) = self.vms.remove(&number) {
            vm.entry.kill();
        }
    }

    /// Stops the VM of this number gracefully.
    pub async fn close(&mut self, number: usize) {
        if let Some(vm) = self.vms.remove(&number) {
            vm.entry.leave();
            vm.control.close().await;
            vm.entry.kill();
        }
        self.network.detach(address(number));
    }

    /// Freezes the VM: its agent and its `entryd` neither send nor receive, and believe on.
    pub fn freeze(&self, number: usize) {
        self.network.freeze(address(number));
    }

    /// Lets a frozen VM go on.
    pub fn thaw(&self, number: usize) {
        self.network.thaw(address(number));
    }

    /// Cuts the VMs for which `inside` holds off from all others.
    pub fn cut<F>(&self, inside: F)
    where
        F: Fn(usize) -> bool,
    {
        let numbers = 0..self.size.vms;
        for one in numbers.clone().filter(|number| inside(*number)) {
            for other in numbers.clone().filter(|number| !inside(*number)) {
                self.network.cut(address(one), address(other));
            }
        }
    }

    /// Lists an upstream at the platform.
    pub fn enlist_upstream(&self, name: &str) {
        self.platform.enlist(Machine {
            name: name.into(),
            domain: Arc::clone(&sample::vm(0).domain),
            role: Role::Upstream { service: service().name, address: address(0) },
            leaving: false,
        });
    }

    /// Lets the VM's `entryd` report `upstreams` as leaving, and no others.
    pub fn hear_leaving(&self, number: usize, upstreams: &[&str]) {
        if let Some(vm) = self.vms.get(&number) {
            vm.entry.hear_leaving(upstreams);
        }
    }

    /// The agent of the VM of this number, while it runs.
    pub fn agent(&self, number: usize) -> Option<Arc<Agent>> {
        self.vms.get(&number).map(|vm| vm.control.agent())
    }

    /// The snapshot that the VM's running `entryd` holds.
    pub fn held(&self, number: usize) -> Option<Arc<Snapshot>> {
        self.vms.get(&number)?.entry.held()
    }

    /// What the stand-in `entryd` processes were given.
    pub fn observations(&self) -> &Observations {
        &self.seen
    }

    /// Numbers of the VMs that run.
    pub fn running(&self) -> Vec<usize> {
        self.vms.keys().copied().collect()
    }

    /// A declaration of the sample deployment with presets for ordinary days and for peaks.
    pub fn declaration(&self) -> Declaration {
        let ordinary = sample::preset([0.34, 0.33, 0.33], SHIFT_CAP);
        let peak = Preset { name: "peak".into(), ..sample::preset([0.5, 0.3, 0.2], SHIFT_CAP) };
        let mut deployment = sample::deployment(self.size, CAPACITY);
        deployment.services.push(service());
        Declaration { deployment, presets: vec![ordinary, peak], drains: Vec::new() }
    }

    fn node(&self, number: usize) -> Node {
        let vm = sample::vm(number);
        let seeds = (0..self.size.vms.min(4)).filter(|other| *other != number);
        Node {
            vm: Arc::clone(&vm.name),
            domain: Arc::clone(&vm.domain),
            caller: vm.caller,
            relay: vm.relay,
            peer: vm.peer,
            operator: vm.peer,
            local: vm.peer,
            platform: Vec::new(),
            peers: seeds.map(address).collect(),
            operator_key: "operator".into(),
            peer_key: "peer".into(),
            log_level: "info".into(),
            log_rate: 0,
        }
    }
}

/// The address of the VM of this number.
pub fn address(number: usize) -> SocketAddr {
    sample::vm(number).peer
}

/// The number of the VM at this address.
fn number_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (address.ip().to_bits() & 0xffff) as usize,
        SocketAddr::V6(_) => 0,
    }
}

/// The delays of a fleet whose regions are `between` apart, one way.
pub fn delays(between: Millis) -> Delay {
    let region = |address| sample::region_of_vm(number_of(address));
    Arc::new(move |from, to| if region(from) == region(to) { DOMAIN_DELAY } else { between })
}

fn service() -> Service {
    Service {
        name: "status-desk".into(),
        class: Class::Short,
        servers: 12,
        slots: 3,
        connections: 330,
        connect: Millis(1),
        deadline: Millis(2000),
    }
}

fn machine(number: usize) -> Machine {
    let vm = sample::vm(number);
    Machine {
        name: vm.name,
        domain: vm.domain,
        role: Role::Entry { caller: vm.caller, relay: vm.relay, peer: vm.peer },
        leaving: false,
    }
}
