//! The processes, stand-ins and workload of a run.

use crate::callers::{self, Sender, Workload};
use crate::checker::Checker;
use crate::fault::Features;
use crate::fleet::Gateway;
use crate::link::Link;
use crate::upstream::Upstream;
use clock::Clock;
use platform_standin::{Store, Vm, settings_file};
use std::cell::Cell;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::task::JoinHandle;

pub const DOMAINS: [(&str, &str); 3] = [("d1", "r1"), ("d2", "r1"), ("d3", "r2")];
/// VMs of a usual run, in which all of them read from the store.
pub const FEW_VMS: usize = 6;
/// Most VMs, whose addresses lie below those of the upstreams.
pub const MAX_VMS: usize = 90;
/// Number of upstreams.
pub const UPSTREAMS: usize = 9;
const CALLERS_PER_VM: usize = 3;
const PORT: u16 = 8080;

/// The processes, stand-ins and workload of a run.
pub struct Cluster {
    /// Checks what callers and upstreams observe.
    pub checker: Rc<Checker>,
    /// State that all callers share.
    pub workload: Rc<Workload>,
    /// The platform's store.
    pub store: Rc<Store>,
    /// For each gateway, the proxy through which it reaches the store.
    pub store_links: Vec<Rc<Link>>,
    /// The VMs.
    pub gateways: Vec<Rc<Gateway>>,
    /// For each gateway, whether a fault of its process is in progress.
    pub gateways_busy: Vec<Cell<bool>>,
    /// The upstreams, each behind a proxy.
    pub endpoints: Vec<Endpoint>,
    /// Whether the store is coming back from a copy.
    pub is_recovering: Cell<bool>,
    /// Number in the next id of a replaced upstream.
    pub next_id: Cell<u64>,
}

/// An upstream and the proxy through which gateways reach it.
pub struct Endpoint {
    /// The upstream.
    pub upstream: Rc<Upstream>,
    /// The proxy.
    pub link: Rc<Link>,
    /// Address of the proxy, which the store lists as the upstream's.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: &'static str,
    /// Whether the upstream is being replaced.
    pub is_busy: Cell<bool>,
}

impl Cluster {
    /// Starts the stand-ins and all gateways.
    pub async fn start(
        vms: usize,
        features: Features,
        program: &Path,
        directory: &Path,
    ) -> io::Result<Cluster> {
        std::fs::create_dir_all(directory)?;
        let checker = Rc::new(Checker::new(Clock::system()));
        checker.ledger.borrow_mut().keyring.is_uncapped = !features.caps;
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
        let mut store_links = Vec::new();
        for number in 0..vms {
            store_links.push(Link::open(store_proxy(subnet, number), store_address)?);
        }
        let gateways = prepare_gateways(vms, subnet, program, directory)?;
        let gateways_busy = gateways.iter().map(|_| Cell::new(false)).collect();
        let next_id = Cell::new(UPSTREAMS as u64);
        let cluster = Cluster {
            checker,
            workload,
            store,
            store_links,
            gateways,
            gateways_busy,
            endpoints,
            is_recovering: Cell::default(),
            next_id,
        };
        cluster.write_configuration();
        cluster.endpoints.iter().for_each(|endpoint| cluster.register(endpoint, false));
        for gateway in &cluster.gateways {
            gateway.start().await?;
        }
        Ok(cluster)
    }

    /// Starts the callers and probes.
    pub fn start_traffic(&self) -> Vec<JoinHandle<()>> {
        let mut tasks = Vec::new();
        for gateway in &self.gateways {
            for _ in 0..CALLERS_PER_VM {
                tasks.push(self.send_requests(gateway, Sender::Ordinary));
            }
            let probe = callers::probe(Rc::clone(&self.workload), Rc::clone(gateway));
            tasks.push(tokio::task::spawn_local(probe));
        }
        tasks
    }

    /// Starts a caller of `gateway`.
    pub fn send_requests(&self, gateway: &Rc<Gateway>, sender: Sender) -> JoinHandle<()> {
        let requests =
            callers::send_requests(Rc::clone(&self.workload), Rc::clone(gateway), sender);
        tokio::task::spawn_local(requests)
    }
}

/// Address of the proxy through which the gateway with this number reaches the store.
fn store_proxy(subnet: Subnet, number: usize) -> SocketAddr {
    SocketAddr::new(subnet.host(160 + number), PORT)
}

/// Writes the settings files of the gateways, without starting processes.
fn prepare_gateways(
    vms: usize,
    subnet: Subnet,
    program: &Path,
    directory: &Path,
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
        let store = store_proxy(subnet, number);
        let path = directory.join(format!("{}.json", vm.name));
        std::fs::write(&path, settings_file(&vm, &DOMAINS, &seeds, store))?;
        gateways.push(Rc::new(Gateway::new(vm, program, path)));
    }
    Ok(gateways)
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
