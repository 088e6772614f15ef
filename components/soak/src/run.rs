//! Runs one seed: starts all processes, injects the generated faults and reports violations.

use crate::callers::{self, HOST, Workload};
use crate::checker::{Checker, Summary};
use crate::fault::{self, Condition, Fault};
use crate::fleet::Gateway;
use crate::link::Link;
use crate::upstream::{DRAIN_BOUND, Upstream};
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
/// VMs of a usual run, in which all of them read from the store.
pub const FEW_VMS: usize = 6;
/// Most VMs, whose addresses lie below those of the upstreams.
pub const MAX_VMS: usize = 90;
const UPSTREAMS: usize = 9;
const CALLERS_PER_VM: usize = 3;
const PORT: u16 = 8080;
/// Time until all VMs have received the configuration and know their peers.
const WARM_UP: Millis = Millis(2_500);
/// Length of the last part of a run, when all faults have ended and their effects are over.
const FINAL_PHASE: Millis = Millis(2_000);
/// Share of the reads in the final phase that must be served. Upstreams refuse one request in 40.
const MIN_SERVED_SHARE: f64 = 0.9;

/// The result of a run.
#[derive(Debug)]
pub struct Report {
    /// The injected faults and planned operations, with their times since the end of the warm-up.
    pub faults: Vec<(Millis, Fault)>,
    /// Number of responses by HTTP status.
    pub responses: BTreeMap<u16, u64>,
    /// Violated guarantees, each with its time since the start.
    pub violations: Vec<String>,
}

/// What a run plays.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Determines the faults.
    pub seed: u64,
    /// Duration in seconds; the faults depend on it.
    pub seconds: u64,
    /// Number of VMs, [`MAX_VMS`] at most.
    pub vms: usize,
}

/// Plays `scenario` against the gateway binary `program`. Settings files are written to `directory`.
///
/// # Errors
///
/// When a settings file can't be written, an address is in use or a process can't be started.
pub async fn run(scenario: Scenario, program: &Path, directory: &Path) -> io::Result<Report> {
    LocalSet::new().run_until(run_local(scenario, program, directory)).await
}

/// The processes, stand-ins and workload of a run.
struct Cluster {
    checker: Rc<Checker>,
    workload: Rc<Workload>,
    store: Rc<Store>,
    gateways: Vec<Rc<Gateway>>,
    /// For each gateway, whether a fault of its process is in progress.
    gateways_busy: Vec<Cell<bool>>,
    endpoints: Vec<Endpoint>,
    /// Number in the next id of a replaced upstream.
    next_id: Cell<u64>,
}

/// An upstream and the proxy through which gateways reach it.
struct Endpoint {
    upstream: Rc<Upstream>,
    link: Rc<Link>,
    /// Address of the proxy, which the store lists as the upstream's.
    address: SocketAddr,
    domain: &'static str,
    /// Whether the upstream is being replaced.
    is_busy: Cell<bool>,
}

async fn run_local(scenario: Scenario, program: &Path, directory: &Path) -> io::Result<Report> {
    let Scenario { seed, seconds, vms } = scenario;
    let cluster = Rc::new(Cluster::start(vms.min(MAX_VMS), program, directory).await?);
    let mut tasks = cluster.start_traffic();
    tokio::time::sleep(WARM_UP.duration()).await;
    let faults = fault::generate(seed, seconds);
    let started = cluster.checker.now();
    for (at, fault) in &faults {
        let wait = started + *at - cluster.checker.now();
        tokio::time::sleep(wait.duration()).await;
        if !fault.is_planned() {
            cluster.checker.disturb_until(cluster.checker.now() + fault.span());
        }
        tasks.push(tokio::task::spawn_local(Rc::clone(&cluster).inject(*fault)));
    }
    let end = started + Millis::from_secs(seconds);
    tokio::time::sleep((end - FINAL_PHASE - cluster.checker.now()).duration()).await;
    cluster.workload.is_final_phase.set(true);
    tokio::time::sleep((end - cluster.checker.now()).duration()).await;
    cluster.workload.is_running.set(false);
    for task in tasks {
        if let Err(error) = task.await {
            cluster.checker.report_violation(format!("a task of the soak failed: {error}"));
        }
    }
    cluster.stop_all().await;
    Ok(cluster.report(faults))
}

impl Cluster {
    async fn start(vms: usize, program: &Path, directory: &Path) -> io::Result<Cluster> {
        std::fs::create_dir_all(directory)?;
        let checker = Rc::new(Checker::new(Clock::system()));
        let subnet = Subnet::next();
        let store_address = SocketAddr::new(subnet.host(1), PORT);
        let store = Store::open(store_address)?;
        let mut endpoints = Vec::new();
        for number in 0..UPSTREAMS {
            let (proxy, inner) = (subnet.host(100 + number), subnet.host(150 + number));
            let (address, upstream_address) =
                (SocketAddr::new(proxy, PORT), SocketAddr::new(inner, PORT));
            let upstream =
                Upstream::open(&format!("u{number}"), upstream_address, Rc::clone(&checker))?;
            let link = Link::open(address, upstream_address)?;
            let domain = DOMAINS[number % DOMAINS.len()].0;
            endpoints.push(Endpoint { upstream, link, address, domain, is_busy: Cell::default() });
        }
        let workload = Rc::new(Workload::new(Rc::clone(&checker)));
        let gateways = prepare_gateways(vms, subnet, program, directory, store_address)?;
        let gateways_busy = gateways.iter().map(|_| Cell::new(false)).collect();
        let next_id = Cell::new(UPSTREAMS as u64);
        let cluster =
            Cluster { checker, workload, store, gateways, gateways_busy, endpoints, next_id };
        cluster.store.put_configuration(configuration_row(1, HOST, SERVICE, &routes(1)));
        cluster.endpoints.iter().for_each(|endpoint| cluster.register(endpoint, false));
        for gateway in &cluster.gateways {
            gateway.start().await?;
        }
        Ok(cluster)
    }

    fn start_traffic(&self) -> Vec<JoinHandle<()>> {
        let mut tasks = Vec::new();
        for gateway in &self.gateways {
            for _ in 0..CALLERS_PER_VM {
                let requests =
                    callers::send_requests(Rc::clone(&self.workload), Rc::clone(gateway));
                tasks.push(tokio::task::spawn_local(requests));
            }
            let probe = callers::probe(Rc::clone(&self.workload), Rc::clone(gateway));
            tasks.push(tokio::task::spawn_local(probe));
        }
        tasks
    }

    async fn inject(self: Rc<Cluster>, fault: Fault) {
        match fault {
            Fault::Stop(index) | Fault::Kill(index, _) | Fault::Pause(index, _) => {
                let index = index % self.gateways.len();
                if !self.gateways_busy[index].replace(true) {
                    self.disrupt(&self.gateways[index], fault).await;
                    self.gateways_busy[index].set(false);
                }
            }
            Fault::Reload(index) => {
                self.gateways[index % self.gateways.len()].signal(Signal::Hup);
            }
            Fault::Network(index, condition, span) => {
                let link = &self.endpoints[index % UPSTREAMS].link;
                link.set(condition);
                tokio::time::sleep(span.duration()).await;
                link.set(Condition::Normal);
            }
            Fault::Store(mode, span) => {
                self.store.set_mode(mode);
                tokio::time::sleep(span.duration()).await;
                self.store.set_mode(Mode::Normal);
            }
            Fault::DropHistory => self.store.drop_history(),
            Fault::DropResponses(index, span) => {
                let drops_responses = &self.endpoints[index % UPSTREAMS].upstream.drops_responses;
                drops_responses.set(true);
                tokio::time::sleep(span.duration()).await;
                drops_responses.set(false);
            }
            Fault::Replace(index) => self.replace(&self.endpoints[index % UPSTREAMS]).await,
            Fault::Evacuate(index, span) => {
                self.evacuate(DOMAINS[index % DOMAINS.len()].0, span).await;
            }
            Fault::Configure => self.configure(),
        }
    }

    async fn disrupt(&self, gateway: &Gateway, fault: Fault) {
        match fault {
            Fault::Kill(_, span) => {
                gateway.kill().await;
                tokio::time::sleep(span.duration()).await;
            }
            Fault::Pause(_, span) => {
                gateway.signal(Signal::Stop);
                tokio::time::sleep(span.duration()).await;
                gateway.signal(Signal::Cont);
                return;
            }
            _ => self.stop(gateway).await,
        }
        if let Err(error) = gateway.start().await {
            self.checker.report_violation(format!("{} can't start: {error}", gateway.vm.name));
        }
    }

    /// Shuts all processes down gracefully at the same time.
    async fn stop_all(self: &Rc<Cluster>) {
        let stop = |gateway: &Rc<Gateway>| {
            let (cluster, gateway) = (Rc::clone(self), Rc::clone(gateway));
            tokio::task::spawn_local(async move { cluster.stop(&gateway).await })
        };
        let stops: Vec<JoinHandle<()>> = self.gateways.iter().map(stop).collect();
        for stop in stops {
            if let Err(error) = stop.await {
                self.checker.report_violation(format!("a task of the soak failed: {error}"));
            }
        }
    }

    async fn stop(&self, gateway: &Gateway) {
        if let Err(error) = gateway.stop().await {
            self.checker.report_violation(format!("{}: {error}", gateway.vm.name));
        }
    }

    async fn replace(&self, endpoint: &Endpoint) {
        if endpoint.is_busy.replace(true) {
            return;
        }
        self.register(endpoint, true);
        endpoint.upstream.leaving_since.set(Some(self.checker.now()));
        tokio::time::sleep((DRAIN_BOUND + Millis(1_500)).duration()).await;
        let old_id = endpoint.upstream.id.borrow().clone();
        self.store.put_upstream(&old_id, None);
        let next = self.next_id.get();
        self.next_id.set(next + 1);
        *endpoint.upstream.id.borrow_mut() = format!("u{next}");
        endpoint.upstream.leaving_since.set(None);
        self.register(endpoint, false);
        endpoint.is_busy.set(false);
    }

    async fn evacuate(&self, domain: &str, span: Millis) {
        let endpoints = || self.endpoints.iter().filter(|endpoint| endpoint.domain == domain);
        if endpoints().any(|endpoint| endpoint.upstream.evacuated_since.get().is_some()) {
            return;
        }
        self.store.set_evacuated(domain, true);
        let now = self.checker.now();
        endpoints().for_each(|endpoint| endpoint.upstream.evacuated_since.set(Some(now)));
        tokio::time::sleep(span.duration()).await;
        endpoints().for_each(|endpoint| endpoint.upstream.evacuated_since.set(None));
        self.store.set_evacuated(domain, false);
    }

    fn configure(&self) {
        let version = self.workload.configured.get().0 + 1;
        self.store.put_configuration(configuration_row(version, HOST, SERVICE, &routes(version)));
        self.workload.configured.set((version, self.checker.now()));
    }

    fn register(&self, endpoint: &Endpoint, leaving: bool) {
        let value = upstream_row(SERVICE, endpoint.address, endpoint.domain, leaving);
        self.store.put_upstream(&endpoint.upstream.id.borrow(), Some(value));
    }

    fn report(&self, faults: Vec<(Millis, Fault)>) -> Report {
        let Summary { responses, reads, served, mut violations } = self.checker.summary();
        if (served as f64) < reads as f64 * MIN_SERVED_SHARE || reads == 0 {
            violations
                .push(format!("only {served} of {reads} reads were served in the final phase"));
        }
        Report { faults, responses, violations }
    }
}

/// Writes the settings files of the gateways, without starting processes.
fn prepare_gateways(
    vms: usize,
    subnet: Subnet,
    program: &Path,
    directory: &Path,
    store: SocketAddr,
) -> io::Result<Vec<Rc<Gateway>>> {
    let seeds = [10, 11, 12].map(|number| subnet.host(number));
    let mut gateways = Vec::new();
    for number in 0..vms {
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let vm = Vm {
            name: format!("vm-{number}"),
            ip: subnet.host(10 + number),
            domain: domain.to_owned(),
            region: region.to_owned(),
        };
        let path = directory.join(format!("{}.json", vm.name));
        std::fs::write(&path, settings_file(&vm, &DOMAINS, &seeds, store))?;
        gateways.push(Rc::new(Gateway::new(vm, program, path)));
    }
    Ok(gateways)
}

/// The routes of all versions, and one that only `version` has.
fn routes(version: u64) -> Vec<Route> {
    let route = |prefix: &str, is_order| Route { prefix: prefix.to_owned(), is_order };
    vec![route("/read/", false), route("/order/", true), route(&format!("/v{version}/"), false)]
}

/// The loopback network 127.x.y.0/24 of one run. The process id and the number of the run keep runs
/// apart.
#[derive(Clone, Copy, Debug)]
struct Subnet(u8, u8);

impl Subnet {
    fn next() -> Subnet {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let process = std::process::id();
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        Subnet(1 + (process % 250) as u8, 1 + ((process / 250 + run) % 250) as u8)
    }

    fn host(self, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, number as u8))
    }
}
