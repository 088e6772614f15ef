//! A whole deployment inside this process.

use clock::{Clock, Millis};
use control::Platform;
use daemon::{Listener, controld, entryd};
use errors::{Error, Kind};
use operator::Api;
use operator::wire::Apply;
use settings::{Class, Declaration, Deployment, Node, Service, Source};
use std::net::SocketAddr;
use std::sync::Arc;
use store::fake;
use store::{ListedVm, Role};
use upstream::Standin;
use upstream::fake::{Performance, Server};

/// Interval between progress lines.
pub const PROGRESS_INTERVAL: Millis = Millis::from_secs(5);

const SHORT_SERVICE_TIME: Millis = Millis(5);
const LONG_SERVICE_TIME: Millis = Millis(50);
const QUEUED_PER_SLOT: u32 = 64;
/// An entry VM admits no requests under a share before its first window has passed.
const FIRST_WINDOW: Millis = Millis::from_secs(1);
const POLL_INTERVAL: Millis = Millis(50);
const READY_TIMEOUT: Millis = Millis::from_secs(30);
const CLOSE_TIMEOUT: Millis = Millis(500);
const OPERATION: &str = "try";
const OPERATOR_KEY: &str = "trial-operator-key-0123456789abcdef";
const PEER_KEY: &str = "trial-peer-key-0123456789abcdef0123";

/// A deployment that runs in this process.
pub struct Cluster {
    /// The declaration in force.
    pub declaration: Declaration,
    /// The clock of all daemons and stand-ins.
    pub clock: Clock,
    upstreams: Vec<Arc<Server>>,
    listeners: Vec<Listener>,
    entry_vms: Vec<EntryVm>,
}

/// The two daemons of one entry VM.
struct EntryVm {
    controld: controld::Daemon,
    entryd: entryd::Daemon,
}

impl Cluster {
    /// Starts all daemons and stand-ins, applies the declaration and waits until the entry VMs serve.
    ///
    /// # Errors
    ///
    /// The error of the first part that can't start; [`Kind::NotReady`] when not all entry VMs get
    /// the configuration in time.
    pub async fn open(
        clock: Clock,
        declaration: Declaration,
        source: Source,
    ) -> Result<Cluster, Error> {
        let platform = fake::Platform::new(clock);
        let (upstreams, listeners, entry_vms) = (Vec::new(), Vec::new(), Vec::new());
        let mut cluster = Cluster { declaration, clock, upstreams, listeners, entry_vms };
        cluster.open_upstreams(&platform).await?;
        cluster.open_entry_vms(&platform).await?;
        cluster.apply(source).await?;
        cluster.wait_until_ready().await?;
        Ok(cluster)
    }

    /// The addresses of the entry VMs for callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entry_vms.iter().map(|vm| vm.entryd.listen().caller).collect()
    }

    /// How many requests the stand-in upstreams have executed.
    pub fn executions(&self) -> usize {
        self.upstreams.iter().map(|server| server.runs().len()).sum()
    }

    /// The entry VMs' addresses and example commands, as lines of text.
    pub fn hints(&self) -> String {
        let addresses = self.caller_addresses();
        let block = block_of(&self.declaration.deployment, 0);
        let service = &self.declaration.deployment.services[0].name;
        let mut lines: Vec<String> =
            addresses.iter().map(|address| format!("entry VM for callers: {address}")).collect();
        let first = addresses[0];
        lines.push(format!("curl 'http://{first}/v1/lookup?block={block}&service={service}'"));
        lines
            .push(format!("curl -H 'x-block: {block}' http://{first}/v1/services/{service}/hello"));
        lines.join("\n")
    }

    /// Shuts all daemons and stand-ins down gracefully.
    pub async fn close(self) {
        let closing: Vec<_> =
            self.entry_vms.into_iter().map(|vm| tokio::spawn(vm.close())).collect();
        for task in closing {
            // A daemon whose shutdown fails ends with this process.
            let _ = task.await;
        }
        for listener in self.listeners {
            listener.close(CLOSE_TIMEOUT).await;
        }
    }

    async fn open_upstreams(&mut self, platform: &Arc<fake::Platform>) -> Result<(), Error> {
        let domains = domains(&self.declaration.deployment);
        for service in self.declaration.deployment.services.clone() {
            for number in 0..service.servers as usize {
                let name: Arc<str> = format!("{}-{}", service.name, number + 1).into();
                let server = Server::new(Arc::clone(&name), self.clock, performance(&service));
                let server = Arc::new(server);
                let router = Standin::new(Arc::clone(&server)).router();
                let listener = Listener::open(any_port(), router).await?;
                let role = Role::Upstream {
                    service: Arc::clone(&service.name),
                    address: listener.address(),
                };
                let domain = Arc::clone(&domains[number % domains.len()]);
                platform.register(ListedVm { name, domain, role, leaving: false });
                self.upstreams.push(server);
                self.listeners.push(listener);
            }
        }
        Ok(())
    }

    async fn open_entry_vms(&mut self, platform: &Arc<fake::Platform>) -> Result<(), Error> {
        let domains = domains(&self.declaration.deployment);
        let mut peers = Vec::new();
        for number in 0..self.declaration.deployment.entries as usize {
            let name = format!("e{}", number + 1);
            let domain = Arc::clone(&domains[number % domains.len()]);
            let vm =
                EntryVm::open(vm_settings(&name, domain, &peers), platform, self.clock).await?;
            peers.push(vm.controld.listen().peer);
            platform.register(vm.record(&name, &domains[number % domains.len()]));
            self.entry_vms.push(vm);
        }
        Ok(())
    }

    async fn apply(&self, source: Source) -> Result<(), Error> {
        let agent = self.entry_vms[0].controld.agent();
        let request = Apply { expected: 0, operation: OPERATION.into(), source };
        let accepted = agent.apply(request).await;
        accepted.map(drop).map_err(|refusal| Error::new(refusal.kind, refusal.context))
    }

    /// Waits until every entry VM has a snapshot that gives shares to all of them.
    async fn wait_until_ready(&self) -> Result<(), Error> {
        let deadline = self.clock.now() + READY_TIMEOUT;
        while self.clock.now() < deadline {
            if self.entry_vms.iter().all(|vm| vm.entryd.is_ready(self.entry_vms.len())) {
                self.clock.sleep(FIRST_WINDOW).await;
                return Ok(());
            }
            self.clock.sleep(POLL_INTERVAL).await;
        }
        Err(Error::new(Kind::NotReady, "the entry VMs didn't all get the configuration"))
    }
}

impl EntryVm {
    async fn open(
        settings: Node,
        platform: &Arc<fake::Platform>,
        clock: Clock,
    ) -> Result<EntryVm, Error> {
        let client = platform.client(&settings.vm);
        let services = Platform {
            table: Arc::clone(&client) as _,
            store: Arc::clone(&client) as _,
            directory: Arc::clone(&client) as _,
        };
        let entryd = entryd::Daemon::bind(settings).await?;
        let controld = controld::Daemon::open(entryd.node().clone(), services, clock).await?;
        let entryd = entryd.open(controld.listen().local, client, clock)?;
        Ok(EntryVm { controld, entryd })
    }

    fn record(&self, name: &str, domain: &Arc<str>) -> ListedVm {
        let entryd::Listen { caller, relay } = self.entryd.listen();
        let role = Role::Entry { caller, relay, peer: self.controld.listen().peer };
        ListedVm { name: name.into(), domain: Arc::clone(domain), role, leaving: false }
    }

    async fn close(self) {
        self.entryd.close().await;
        self.controld.close().await;
    }
}

/// A block of one of the deployment's sites, selected by `number`.
pub fn block_of(deployment: &Deployment, number: u32) -> String {
    let site = &deployment.sites[number as usize % deployment.sites.len()];
    let range = site.blocks[0];
    caller::format_block(range.first + number % (range.last - range.first + 1))
}

/// The failure domains in the order in which VMs are assigned to them: the first domain of each
/// region, then the second of each, and so on.
fn domains(deployment: &Deployment) -> Vec<Arc<str>> {
    let regions = &deployment.regions;
    let most = regions.iter().map(|region| region.domains.len()).max().unwrap_or_default();
    let interleaved =
        (0..most).flat_map(|rank| regions.iter().filter_map(move |r| r.domains.get(rank)));
    interleaved.cloned().collect()
}

fn performance(service: &Service) -> Performance {
    let service_time = match service.class {
        Class::Short => SHORT_SERVICE_TIME,
        Class::Long => LONG_SERVICE_TIME,
    };
    let queue = service.slots * QUEUED_PER_SLOT;
    Performance { slots: service.slots, queue, service_time, ..Performance::default() }
}

fn vm_settings(name: &str, domain: Arc<str>, peers: &[SocketAddr]) -> Node {
    Node {
        vm: name.into(),
        domain,
        caller: any_port(),
        relay: any_port(),
        peer: any_port(),
        operator: any_port(),
        local: any_port(),
        platform: Vec::new(),
        peers: peers.to_vec(),
        operator_key: OPERATOR_KEY.into(),
        peer_key: PEER_KEY.into(),
        log_level: "warn".into(),
        log_rate: 0,
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
