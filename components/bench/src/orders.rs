use crate::{Experiment, Row, Scenario, Spread, Table, Target};
use caller::lookup::Query;
use caller::{Handler, Method, Request};
use clock::{Clock, Millis};
use entry::fake::{Process, RelayNetwork};
use entry::{Entry, Settings};
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use settings::{Range, Site};
use std::sync::{Arc, Mutex};
use steering::Snapshot;
use store::fake::{Fault, Platform};
use upstream::Transport;
use upstream::fake::{Fleet, Performance, Server};

/// Index of the entry VM that owns the orders' ids.
const OWNER: usize = 0;
/// Index of another entry VM of the owner's region.
const OTHER: usize = 3;
const BLOCK: u32 = 0;
const ORDERS: u32 = 1_000;
const ORDERS_PER_SECOND: f64 = 50.0;
/// Time between the start of the entry VMs and the first order.
const START_UP: Millis = Millis(1_100);
/// Time for the last responses to arrive.
const RESPONSE_TIMEOUT: Millis = Millis::from_secs(10);
const MIN_SERVED_RATIO: f64 = 1.0;
const PEER_KEY: &str = "the key of the experiment";

/// Measures what each protection against running an order twice costs.
pub struct Orders;

/// A protection against running an order twice; the lower-case name is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Protection {
    /// No protection, as the baseline.
    Unprotected,
    /// A claim on the order's id in the platform's table.
    Claim,
    /// The id names the entry VM that owns it, and the order is sent to that VM.
    Home,
    /// The id names the entry VM that owns it, and the order is sent to another VM of the region.
    Relayed,
}

/// Results of one protection with one seed.
struct Results {
    p50_ms: f64,
    p99_ms: f64,
    writes_per_order: f64,
    /// The share of orders that were answered during the table's outage.
    served_in_outage: f64,
}

impl Experiment for Orders {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn about(&self) -> &'static str {
        "latency, table writes and outage of the ways to run orders at most once"
    }

    fn run(&self, seeds: &[u64], scenario: Scenario) -> Table {
        let protections =
            [Protection::Unprotected, Protection::Claim, Protection::Relayed, Protection::Home];
        let rows: Vec<Row> =
            protections.iter().map(|&protection| row(protection, seeds, scenario)).collect();
        let served_in_outage = rows[rows.len() - 1].cells[3];
        Table {
            title: format!("orders, {}: 50/s, table one region away, ms", scenario.name()),
            seeds: seeds.to_vec(),
            columns: vec!["p50", "p99", "table writes/order", "served in outage"],
            targets: vec![Target::at_least(
                "served in outage by the home",
                MIN_SERVED_RATIO,
                served_in_outage,
            )],
            rows,
        }
    }
}

fn row(protection: Protection, seeds: &[u64], scenario: Scenario) -> Row {
    let results: Vec<Results> =
        seeds.iter().map(|&seed| measure(protection, seed, scenario)).collect();
    let spread = |value: fn(&Results) -> f64| Spread::of(results.iter().map(value).collect());
    let cells = vec![
        spread(|results| results.p50_ms),
        spread(|results| results.p99_ms),
        spread(|results| results.writes_per_order),
        spread(|results| results.served_in_outage),
    ];
    Row { policy: format!("{protection:?}").to_lowercase(), cells }
}

fn measure(protection: Protection, seed: u64, scenario: Scenario) -> Results {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    runtime.block_on(run_phases(protection, seed, scenario))
}

/// Two entry VMs of one region, with a fake platform, fake upstreams and a fake relay network.
struct Testbed {
    clock: Clock,
    platform: Arc<Platform>,
    owner: Entry,
    other: Entry,
    service: Arc<str>,
    prefix: Arc<str>,
}

/// The responses that callers received.
#[derive(Default)]
struct Responses {
    /// Latency in milliseconds; `None` until the first response.
    latency: Option<Histogram<u64>>,
    answered: u32,
}

async fn run_phases(protection: Protection, seed: u64, scenario: Scenario) -> Results {
    let testbed = Testbed::start(seed, scenario).await;
    testbed.platform.inject(Fault::Slow(scenario.store_round_trip()));
    let normal = testbed.send(protection, seed, "calm").await;
    let writes_per_order = testbed.platform.count().commits as f64 / f64::from(ORDERS);
    testbed.platform.inject(Fault::TableDown);
    let outage = testbed.send(protection, seed, "outage").await;
    let latency = normal.latency.unwrap_or_else(histogram);
    Results {
        p50_ms: latency.value_at_quantile(0.5) as f64,
        p99_ms: latency.value_at_quantile(0.99) as f64,
        writes_per_order,
        served_in_outage: f64::from(outage.answered) / f64::from(ORDERS),
    }
}

impl Testbed {
    async fn start(seed: u64, scenario: Scenario) -> Testbed {
        let clock = Clock::at(Millis::ZERO);
        let snapshot = Arc::new(snapshot(scenario));
        let platform = Platform::new(clock);
        let relays = RelayNetwork::new(clock, snapshot.deployment.domain_delay);
        let fleet = fleet(&snapshot, clock);
        let start = |number: usize| {
            let vm = &snapshot.vms[number];
            let (name, domain) = (Arc::clone(&vm.name), Arc::clone(&vm.domain));
            let settings = Settings::new(name, domain, vm.incarnation, PEER_KEY.into());
            let table = platform.client(&vm.name);
            let transport: Arc<dyn Transport> = Arc::clone(&fleet) as _;
            let entry =
                Entry::new(settings, clock, seed, transport, table, Arc::clone(&relays) as _);
            entry.install(Arc::clone(&snapshot));
            relays.attach(vm.relay, Process::new(), entry.clone());
            entry
        };
        let (owner, other) = (start(OWNER), start(OTHER));
        clock.sleep(START_UP).await;
        let service: Arc<str> = scenario.status_service().into();
        let prefix = prefix(&owner, &snapshot, &service);
        Testbed { clock, platform, owner, other, service, prefix }
    }

    /// Sends all orders of a phase and returns the responses.
    async fn send(&self, protection: Protection, seed: u64, phase: &str) -> Responses {
        let mut rng = StdRng::seed_from_u64(seed);
        let responses = Arc::new(Mutex::new(Responses::default()));
        for number in 0..ORDERS {
            let gap_seconds = -rng.random_range(f64::EPSILON..1.0).ln() / ORDERS_PER_SECOND;
            self.clock.sleep(Millis((gap_seconds * 1000.0) as u64)).await;
            let entry = if protection == Protection::Relayed {
                self.other.clone()
            } else {
                self.owner.clone()
            };
            let request = self.request(protection, &format!("{phase}-{number}"));
            tokio::spawn(send_order(entry, request, self.clock, Arc::clone(&responses)));
        }
        self.clock.sleep(RESPONSE_TIMEOUT).await;
        std::mem::take(&mut *responses.lock().expect("no panic while locked"))
    }

    fn request(&self, protection: Protection, name: &str) -> Request {
        let order: Option<Arc<str>> = match protection {
            Protection::Unprotected => None,
            Protection::Claim => Some(name.into()),
            Protection::Home | Protection::Relayed => {
                Some(format!("{}~{name}", self.prefix).into())
            }
        };
        Request {
            id: Some(name.into()),
            block: BLOCK,
            service: Arc::clone(&self.service),
            method: Method::POST,
            path: "/place".into(),
            headers: Default::default(),
            body: Default::default(),
            budget: None,
            idempotent: protection == Protection::Unprotected,
            order,
        }
    }
}

async fn send_order(
    entry: Entry,
    request: Request,
    clock: Clock,
    responses: Arc<Mutex<Responses>>,
) {
    let sent_at = clock.now();
    let Ok(mut response) = entry.forward(request).await else {
        return;
    };
    while let Some(chunk) = response.body.next().await {
        if chunk.is_err() {
            return;
        }
    }
    let mut responses = responses.lock().expect("no panic while locked");
    responses.answered += 1;
    responses.latency.get_or_insert_with(histogram).saturating_record((clock.now() - sent_at).0);
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

/// An order prefix that `owner` owns. A look-up may select another entry VM as the owner, so during
/// the look-up `owner` has a snapshot that contains only itself.
fn prefix(owner: &Entry, snapshot: &Snapshot, service: &Arc<str>) -> Arc<str> {
    let mut only_owner = snapshot.clone();
    only_owner.vms.truncate(OWNER + 1);
    owner.install(Arc::new(only_owner));
    let query = Query { block: BLOCK, service: Arc::clone(service), token: None };
    let lookup = owner.look_up(&query).expect("a known block and service");
    owner.install(Arc::new(snapshot.clone()));
    lookup.order_prefix
}

/// The scenario's snapshot with a single site, in the first region.
fn snapshot(scenario: Scenario) -> Snapshot {
    let mut snapshot = scenario.snapshot();
    let mut deployment = (*snapshot.deployment).clone();
    let regions = deployment.regions.iter().map(|region| Arc::clone(&region.name));
    snapshot.plan.regions = regions.collect();
    deployment.sites = vec![Site {
        name: "site".into(),
        region: Arc::clone(&deployment.regions[0].name),
        delay: Millis(3),
        blocks: vec![Range { first: BLOCK, last: BLOCK }],
    }];
    snapshot.deployment = Arc::new(deployment);
    snapshot
}

fn fleet(snapshot: &Snapshot, clock: Clock) -> Arc<Fleet> {
    let fleet = Fleet::new();
    for upstream in &snapshot.upstreams {
        let server = Server::new(Arc::clone(&upstream.name), clock, Performance::default());
        fleet.put(upstream.address, Arc::new(server));
    }
    Arc::new(fleet)
}
