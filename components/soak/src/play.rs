//! Plays one seed: starts everything, does what was drawn, and says what was broken.

use crate::callers::{self, Desk, HOST};
use crate::fault::{self, Fault, Line};
use crate::fleet::Machine;
use crate::ledger::{Ledger, Summary};
use crate::link::Link;
use crate::upstream::{DRAIN, Upstream};
use clock::{Clock, Millis};
use harness::Signal;
use platform_standin::{Mode, Route, Store, Vm, configuration_row, settings_file, upstream_row};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::task::{JoinHandle, LocalSet};

const DOMAINS: [(&str, &str); 3] = [("d1", "r1"), ("d2", "r1"), ("d3", "r2")];
const SERVICE: &str = "soak";
const VMS: usize = 6;
const UPSTREAMS: usize = 9;
const CALLERS: usize = 3;
const PORT: u16 = 8080;
/// Time until all VMs know the configuration and each other.
const WARM_UP: Millis = Millis(2_500);
/// The last part of a run, in which all faults are over and have settled.
const CALM: Millis = Millis(2_000);
/// Reads in the calm part that must be served: one in 40 upstream answers is a refusal.
const RECOVERED: f64 = 0.9;

/// What came of a run.
#[derive(Debug)]
pub struct Report {
    /// What was done, in order.
    pub faults: Vec<(Millis, Fault)>,
    /// Answers by status.
    pub answers: BTreeMap<u16, u64>,
    /// Promises that were broken.
    pub broken: Vec<String>,
}

/// Plays `seed` for `seconds` with the gateway at `program`; files go below `directory`.
///
/// # Errors
///
/// The system's, when the fleet can't be started.
pub async fn play(seed: u64, seconds: u64, program: &Path, directory: &Path) -> io::Result<Report> {
    LocalSet::new().run_until(run(seed, seconds, program, directory)).await
}

struct World {
    ledger: Rc<Ledger>,
    desk: Rc<Desk>,
    store: Rc<Store>,
    machines: Vec<Rc<Machine>>,
    busy: Vec<Cell<bool>>,
    upstreams: Vec<Site>,
    next_id: Cell<u64>,
}

/// An upstream with the way to it.
struct Site {
    upstream: Rc<Upstream>,
    link: Rc<Link>,
    address: SocketAddr,
    domain: &'static str,
    busy: Cell<bool>,
}

async fn run(seed: u64, seconds: u64, program: &Path, directory: &Path) -> io::Result<Report> {
    let world = Rc::new(World::open(program, directory).await?);
    let mut tasks = world.traffic();
    tokio::time::sleep(WARM_UP.duration()).await;
    let faults = fault::draw(seed, seconds);
    let begun = world.ledger.now();
    for (at, fault) in &faults {
        let wait = begun + *at - world.ledger.now();
        tokio::time::sleep(wait.duration()).await;
        if !fault.is_planned() {
            world.ledger.disturb(world.ledger.now() + fault.span());
        }
        tasks.push(tokio::task::spawn_local(Rc::clone(&world).inflict(*fault)));
    }
    let end = begun + Millis::from_secs(seconds);
    tokio::time::sleep((end - CALM - world.ledger.now()).duration()).await;
    world.desk.calm.set(true);
    tokio::time::sleep((end - world.ledger.now()).duration()).await;
    world.desk.open.set(false);
    for task in tasks {
        if let Err(error) = task.await {
            world.ledger.broken(format!("the soak itself failed: {error}"));
        }
    }
    world.close().await;
    Ok(world.report(faults))
}

impl World {
    async fn open(program: &Path, directory: &Path) -> io::Result<World> {
        std::fs::create_dir_all(directory)?;
        let ledger = Rc::new(Ledger::new(Clock::system()));
        let network = Network::next();
        let store_address = SocketAddr::new(network.host(1), PORT);
        let store = Store::open(store_address)?;
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let (address, inner) = (network.host(100 + number), network.host(150 + number));
            let (address, inner) = (SocketAddr::new(address, PORT), SocketAddr::new(inner, PORT));
            let upstream = Upstream::open(&format!("u{number}"), inner, Rc::clone(&ledger))?;
            let link = Link::open(address, inner)?;
            let domain = DOMAINS[number % DOMAINS.len()].0;
            upstreams.push(Site { upstream, link, address, domain, busy: Cell::default() });
        }
        let desk = Rc::new(Desk::new(Rc::clone(&ledger)));
        let machines = machines(network, program, directory, store_address)?;
        let busy = machines.iter().map(|_| Cell::new(false)).collect();
        let next_id = Cell::new(UPSTREAMS as u64);
        let world = World { ledger, desk, store, machines, busy, upstreams, next_id };
        world.store.put_configuration(configuration_row(1, HOST, SERVICE, &routes(1)));
        world.upstreams.iter().for_each(|site| world.register(site, false));
        for machine in &world.machines {
            machine.start().await?;
        }
        Ok(world)
    }

    fn traffic(&self) -> Vec<JoinHandle<()>> {
        let mut tasks = Vec::new();
        for machine in &self.machines {
            for _ in 0..CALLERS {
                let call = callers::call(Rc::clone(&self.desk), Rc::clone(machine));
                tasks.push(tokio::task::spawn_local(call));
            }
            let probe = callers::probe(Rc::clone(&self.desk), Rc::clone(machine));
            tasks.push(tokio::task::spawn_local(probe));
        }
        tasks
    }

    async fn inflict(self: Rc<World>, fault: Fault) {
        match fault {
            Fault::Stop(which) | Fault::Kill(which, _) | Fault::Pause(which, _) => {
                let which = which % self.machines.len();
                if !self.busy[which].replace(true) {
                    self.hit(&self.machines[which], fault).await;
                    self.busy[which].set(false);
                }
            }
            Fault::Reload(which) => {
                self.machines[which % self.machines.len()].signal(Signal::Hup);
            }
            Fault::Line(which, line, span) => {
                let link = &self.upstreams[which % UPSTREAMS].link;
                link.set(line);
                tokio::time::sleep(span.duration()).await;
                link.set(Line::Passes);
            }
            Fault::Store(mode, span) => {
                self.store.set_mode(mode);
                tokio::time::sleep(span.duration()).await;
                self.store.set_mode(Mode::Normal);
            }
            Fault::Forget => self.store.drop_history(),
            Fault::LoseAnswers(which, span) => {
                let loses = &self.upstreams[which % UPSTREAMS].upstream.loses;
                loses.set(true);
                tokio::time::sleep(span.duration()).await;
                loses.set(false);
            }
            Fault::Leave(which) => self.leave(&self.upstreams[which % UPSTREAMS]).await,
            Fault::Evacuate(which, span) => {
                self.evacuate(DOMAINS[which % DOMAINS.len()].0, span).await;
            }
            Fault::Configure => self.configure(),
        }
    }

    async fn hit(&self, machine: &Machine, fault: Fault) {
        match fault {
            Fault::Kill(_, span) => {
                machine.kill().await;
                tokio::time::sleep(span.duration()).await;
            }
            Fault::Pause(_, span) => {
                machine.signal(Signal::Stop);
                tokio::time::sleep(span.duration()).await;
                machine.signal(Signal::Cont);
                return;
            }
            _ => self.stop(machine).await,
        }
        if let Err(error) = machine.start().await {
            self.ledger.broken(format!("{} can't start: {error}", machine.vm.name));
        }
    }

    /// Tells all processes to stop at the same time.
    async fn close(self: &Rc<World>) {
        let stop = |machine: &Rc<Machine>| {
            let (world, machine) = (Rc::clone(self), Rc::clone(machine));
            tokio::task::spawn_local(async move { world.stop(&machine).await })
        };
        let stops: Vec<JoinHandle<()>> = self.machines.iter().map(stop).collect();
        for stop in stops {
            if let Err(error) = stop.await {
                self.ledger.broken(format!("the soak itself failed: {error}"));
            }
        }
    }

    async fn stop(&self, machine: &Machine) {
        if let Err(why) = machine.stop().await {
            self.ledger.broken(format!("{}: {why}", machine.vm.name));
        }
    }

    async fn leave(&self, site: &Site) {
        if site.busy.replace(true) {
            return;
        }
        self.register(site, true);
        site.upstream.left.set(Some(self.ledger.now()));
        tokio::time::sleep((DRAIN + Millis(1_500)).duration()).await;
        let gone = site.upstream.id.borrow().clone();
        self.store.put_upstream(&gone, None);
        let next = self.next_id.get();
        self.next_id.set(next + 1);
        *site.upstream.id.borrow_mut() = format!("u{next}");
        site.upstream.left.set(None);
        self.register(site, false);
        site.busy.set(false);
    }

    async fn evacuate(&self, domain: &str, span: Millis) {
        let sites = || self.upstreams.iter().filter(|site| site.domain == domain);
        if sites().any(|site| site.upstream.evacuated.get().is_some()) {
            return;
        }
        self.store.set_evacuated(domain, true);
        let now = self.ledger.now();
        sites().for_each(|site| site.upstream.evacuated.set(Some(now)));
        tokio::time::sleep(span.duration()).await;
        sites().for_each(|site| site.upstream.evacuated.set(None));
        self.store.set_evacuated(domain, false);
    }

    fn configure(&self) {
        let version = self.desk.configured.get().0 + 1;
        self.store.put_configuration(configuration_row(version, HOST, SERVICE, &routes(version)));
        self.desk.configured.set((version, self.ledger.now()));
    }

    fn register(&self, site: &Site, leaving: bool) {
        let value = upstream_row(SERVICE, site.address, site.domain, leaving);
        self.store.put_upstream(&site.upstream.id.borrow(), Some(value));
    }

    fn report(&self, faults: Vec<(Millis, Fault)>) -> Report {
        let Summary { answers, asked, served, mut broken } = self.ledger.summary();
        if (served as f64) < asked as f64 * RECOVERED || asked == 0 {
            broken.push(format!("{served} of {asked} reads were served when all was over"));
        }
        Report { faults, answers, broken }
    }
}

fn machines(
    network: Network,
    program: &Path,
    directory: &Path,
    store: SocketAddr,
) -> io::Result<Vec<Rc<Machine>>> {
    let seeds = [10, 11, 12].map(|number| network.host(number));
    let mut machines = Vec::new();
    for number in 0..VMS {
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let vm = Vm {
            name: format!("vm-{number}"),
            ip: network.host(10 + number),
            domain: domain.to_owned(),
            region: region.to_owned(),
        };
        let path = directory.join(format!("{}.json", vm.name));
        std::fs::write(&path, settings_file(&vm, &DOMAINS, &seeds, store))?;
        machines.push(Rc::new(Machine::new(vm, program, path)));
    }
    Ok(machines)
}

/// The lasting routes, and one that only this version has.
fn routes(version: u64) -> Vec<Route> {
    let route = |prefix: &str, is_order| Route { prefix: prefix.to_owned(), is_order };
    vec![route("/read/", false), route("/order/", true), route(&format!("/v{version}/"), false)]
}

/// The loopback addresses of one run, which no other run of ours uses.
#[derive(Clone, Copy, Debug)]
struct Network(u8, u8);

impl Network {
    fn next() -> Network {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let process = std::process::id();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        Network(1 + (process % 250) as u8, 1 + ((process / 250 + run) % 250) as u8)
    }

    fn host(self, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, number as u8))
    }
}
