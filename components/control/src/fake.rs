//! A fleet of agents on an in-memory network and platform, in virtual time.
//!
//! Session tests, property tests and benches share it. The stand-in `entryd` of each VM records
//! every snapshot that it receives; the tests check these records.

mod client;
mod entry;
pub mod invariants;

pub use entry::{Observation, Observations, digest};

use crate::dissemination::Fanout;
use crate::{Agent, Control, Dissemination, Platform, Settings};
use client::Client;
use clock::{Clock, Millis};
use entry::Entry;
use peer::fake::{Delay, Network};
use settings::{Class, Declaration, Node, Preset, Service};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::Snapshot;
use steering::sample::{self, Size};
use store::fake::Platform as Fake;
use store::{ListedVm, Role};

/// The fleet's initial time, in milliseconds since the Unix epoch.
pub const START: Millis = Millis(1_800_000_000_000);

/// The one-way delay between VMs of one region.
const DOMAIN_DELAY: Millis = Millis(4);

/// The one-way delay between VMs of two regions.
const REGION_DELAY: Millis = Millis(55);

/// The capacity of a sample region, in requests per second.
const CAPACITY: u32 = 1000;

/// The shift cap of the sample presets: requests per second that may move into one region.
const SHIFT_CAP: u32 = 100;

/// The demand at each VM, in requests per second.
const DEMAND: u32 = 50;

/// A fleet of entry VMs, each with an agent and a stand-in `entryd`.
pub struct Cluster {
    /// The clock of all VMs.
    pub clock: Clock,
    /// The network between the VMs, for injecting delays, losses and partitions.
    pub network: Arc<Network>,
    /// The platform, for injecting faults.
    pub platform: Arc<Fake>,
    size: Size,
    seed: u64,
    dissemination: Arc<dyn Dissemination>,
    incarnation: u64,
    vms: BTreeMap<usize, Processes>,
    observations: Observations,
}

/// The processes of a running VM.
struct Processes {
    control: Control,
    entry: Entry,
}

impl Cluster {
    /// A fleet of `vms` VMs that aren't started yet; the one-way delay between regions is 55 ms.
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
            observations: Observations::new(clock),
        }
    }

    /// Sets how VMs that are started from now on push updates.
    pub fn set_dissemination(&mut self, dissemination: Arc<dyn Dissemination>) {
        self.dissemination = dissemination;
    }

    /// Registers all VMs at the platform and starts them.
    pub fn start_all(&mut self) {
        for number in 0..self.size.vms {
            self.platform.register(machine(number));
        }
        for number in 0..self.size.vms {
            self.start(number);
        }
    }

    /// Starts the VM `number` without any state from an earlier run.
    pub fn start(&mut self, number: usize) {
        self.incarnation += 1;
        let control = self.control(number);
        let entry = Entry::start(self, number, control.agent(), self.incarnation);
        self.vms.insert(number, Processes { control, entry });
    }

    /// Restarts only the VM's agent; its `entryd` keeps running and keeps its snapshot.
    pub fn restart_agent(&mut self, number: usize) {
        self.incarnation += 1;
        let control = self.control(number);
        if let Some(vm) = self.vms.get_mut(&number) {
            vm.entry.set_agent(control.agent());
            vm.control = control;
        }
    }

    fn control(&self, number: usize) -> Control {
        let address = address(number);
        let client = self.platform.client(&sample::vm(number).name);
        let client = Arc::new(Client::new(client, Arc::clone(&self.network), address));
        let settings = Settings {
            node: self.node(number),
            incarnation: self.incarnation,
            seed: self.seed ^ self.incarnation,
            dissemination: Arc::clone(&self.dissemination),
            clock: self.clock,
        };
        let platform = Platform {
            table: Arc::clone(&client) as Arc<dyn store::Table>,
            store: Arc::clone(&client) as Arc<dyn store::Store>,
            directory: client,
        };
        let control = Control::start(settings, platform, self.network.transport(address));
        self.network.attach(address, control.agent());
        control
    }

    /// Kills the VM `number`.
    pub fn kill(&mut self, number: usize) {
        self.network.detach(address(number));
        if let Some(vm) = self.vms.remove(&number) {
            vm.entry.kill();
        }
    }

    /// Stops the VM `number` gracefully.
    pub async fn close(&mut self, number: usize) {
        if let Some(vm) = self.vms.remove(&number) {
            vm.entry.leave();
            vm.control.close().await;
            vm.entry.kill();
        }
        self.network.detach(address(number));
    }

    /// Pauses the VM: its agent and its `entryd` neither send nor receive, and keep their state.
    pub fn pause(&self, number: usize) {
        self.network.pause(address(number));
    }

    /// Resumes a paused VM.
    pub fn resume(&self, number: usize) {
        self.network.resume(address(number));
    }

    /// Partitions the network between the VMs for which `inside` returns true and all others.
    pub fn partition<F>(&self, inside: F)
    where
        F: Fn(usize) -> bool,
    {
        let numbers = 0..self.size.vms;
        for one in numbers.clone().filter(|number| inside(*number)) {
            for other in numbers.clone().filter(|number| !inside(*number)) {
                self.network.partition(address(one), address(other));
            }
        }
    }

    /// Registers an upstream at the platform.
    pub fn register_upstream(&self, name: &str) {
        self.platform.register(ListedVm {
            name: name.into(),
            domain: Arc::clone(&sample::vm(0).domain),
            role: Role::Upstream { service: service().name, address: address(0) },
            leaving: false,
        });
    }

    /// Sets the upstreams that the VM's `entryd` reports as leaving.
    pub fn report_leaving(&self, number: usize, upstreams: &[&str]) {
        if let Some(vm) = self.vms.get(&number) {
            vm.entry.report_leaving(upstreams);
        }
    }

    /// The agent of the VM `number`; `None` if the VM isn't running.
    pub fn agent(&self, number: usize) -> Option<Arc<Agent>> {
        self.vms.get(&number).map(|vm| vm.control.agent())
    }

    /// The latest snapshot of the VM's `entryd`; `None` without one or if the VM isn't running.
    pub fn held_snapshot(&self, number: usize) -> Option<Arc<Snapshot>> {
        self.vms.get(&number)?.entry.held_snapshot()
    }

    /// The snapshots that the stand-in `entryd` processes have received.
    pub fn observations(&self) -> &Observations {
        &self.observations
    }

    /// The numbers of the running VMs.
    pub fn running(&self) -> Vec<usize> {
        self.vms.keys().copied().collect()
    }

    /// A declaration of the sample deployment with the presets `ordinary` and `peak`.
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

/// The peer address of the VM `number`.
pub fn address(number: usize) -> SocketAddr {
    sample::vm(number).peer
}

/// The number of the VM at `address`.
fn number_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (address.ip().to_bits() & 0xffff) as usize,
        SocketAddr::V6(_) => 0,
    }
}

/// The delays in a fleet with a one-way delay of `between` between regions.
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

fn machine(number: usize) -> ListedVm {
    let vm = sample::vm(number);
    ListedVm {
        name: vm.name,
        domain: vm.domain,
        role: Role::Entry { caller: vm.caller, relay: vm.relay, peer: vm.peer },
        leaving: false,
    }
}
