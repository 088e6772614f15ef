use crate::{Experiment, Row, Scene, Spread, Table, Target};
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
use upstream::fake::{Fleet, Server, Shape};

const HOME: usize = 0;
const OTHER: usize = 3;
const BLOCK: u32 = 0;
const ORDERS: u32 = 1_000;
const RATE: f64 = 50.0;
const START: Millis = Millis(1_100);
const SETTLE: Millis = Millis::from_secs(10);
const SERVED_LEAST: f64 = 1.0;
const PEER_KEY: &str = "the key of the experiment";

/// What each way of keeping orders from running twice costs.
pub struct Orders;

/// A way of keeping orders from running twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// The baseline: nothing keeps them.
    Unprotected,
    /// A claim in the table.
    Claim,
    /// An id that names its home, sent to the home.
    Home,
    /// An id that names its home, sent to another entry VM of the region.
    Relayed,
}

struct Figures {
    p50: f64,
    p99: f64,
    writes: f64,
    served: f64,
}

impl Experiment for Orders {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn about(&self) -> &'static str {
        "latency, table writes and outage of the ways to run orders at most once"
    }

    fn run(&self, seeds: &[u64], scene: Scene) -> Table {
        let ways = [Way::Unprotected, Way::Claim, Way::Relayed, Way::Home];
        let rows: Vec<Row> = ways.iter().map(|&way| row(way, seeds, scene)).collect();
        let served = rows[rows.len() - 1].cells[3];
        Table {
            title: format!("orders, {}: 50/s, table one region away, ms", scene.name()),
            seeds: seeds.to_vec(),
            columns: vec!["p50", "p99", "table writes/order", "served in outage"],
            targets: vec![Target::at_least("served in outage by the home", SERVED_LEAST, served)],
            rows,
        }
    }
}

fn row(way: Way, seeds: &[u64], scene: Scene) -> Row {
    let figures: Vec<Figures> = seeds.iter().map(|&seed| measure(way, seed, scene)).collect();
    let spread = |figure: fn(&Figures) -> f64| Spread::of(figures.iter().map(figure).collect());
    let cells = vec![
        spread(|figures| figures.p50),
        spread(|figures| figures.p99),
        spread(|figures| figures.writes),
        spread(|figures| figures.served),
    ];
    Row { policy: format!("{way:?}").to_lowercase(), cells }
}

fn measure(way: Way, seed: u64, scene: Scene) -> Figures {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O");
    runtime.block_on(play(way, seed, scene))
}

/// Two entry VMs of one region over fakes.
struct Stage {
    clock: Clock,
    platform: Arc<Platform>,
    home: Entry,
    other: Entry,
    service: Arc<str>,
    prefix: Arc<str>,
}

/// What callers saw.
#[derive(Default)]
struct Seen {
    latency: Option<Histogram<u64>>,
    answered: u32,
}

async fn play(way: Way, seed: u64, scene: Scene) -> Figures {
    let stage = Stage::open(seed, scene).await;
    stage.platform.inject(Fault::Slow(scene.store_round_trip()));
    let calm = stage.send(way, seed, "calm").await;
    let writes = stage.platform.count().commits as f64 / f64::from(ORDERS);
    stage.platform.inject(Fault::TableDown);
    let outage = stage.send(way, seed, "outage").await;
    let latency = calm.latency.unwrap_or_else(histogram);
    Figures {
        p50: latency.value_at_quantile(0.5) as f64,
        p99: latency.value_at_quantile(0.99) as f64,
        writes,
        served: f64::from(outage.answered) / f64::from(ORDERS),
    }
}

impl Stage {
    async fn open(seed: u64, scene: Scene) -> Stage {
        let clock = Clock::at(Millis::ZERO);
        let snapshot = Arc::new(snapshot(scene));
        let platform = Platform::new(clock);
        let relays = RelayNetwork::new(clock, snapshot.deployment.domain_delay);
        let fleet = fleet(&snapshot, clock);
        let open = |number: usize| {
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
        let (home, other) = (open(HOME), open(OTHER));
        clock.sleep(START).await;
        let service: Arc<str> = scene.status_service().into();
        let prefix = prefix(&home, &snapshot, &service);
        Stage { clock, platform, home, other, service, prefix }
    }

    async fn send(&self, way: Way, seed: u64, phase: &str) -> Seen {
        let mut rng = StdRng::seed_from_u64(seed);
        let seen = Arc::new(Mutex::new(Seen::default()));
        for number in 0..ORDERS {
            let gap = -rng.random_range(f64::EPSILON..1.0).ln() / RATE;
            self.clock.sleep(Millis((gap * 1000.0) as u64)).await;
            let entry = if way == Way::Relayed { self.other.clone() } else { self.home.clone() };
            let request = self.request(way, &format!("{phase}-{number}"));
            tokio::spawn(ask(entry, request, self.clock, Arc::clone(&seen)));
        }
        self.clock.sleep(SETTLE).await;
        std::mem::take(&mut *seen.lock().expect("no panic while locked"))
    }

    fn request(&self, way: Way, name: &str) -> Request {
        let order: Option<Arc<str>> = match way {
            Way::Unprotected => None,
            Way::Claim => Some(name.into()),
            Way::Home | Way::Relayed => Some(format!("{}~{name}", self.prefix).into()),
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
            idempotent: way == Way::Unprotected,
            order,
        }
    }
}

async fn ask(entry: Entry, request: Request, clock: Clock, seen: Arc<Mutex<Seen>>) {
    let since = clock.now();
    let Ok(mut reply) = entry.forward(request).await else {
        return;
    };
    while let Some(chunk) = reply.body.next().await {
        if chunk.is_err() {
            return;
        }
    }
    let mut seen = seen.lock().expect("no panic while locked");
    seen.answered += 1;
    seen.latency.get_or_insert_with(histogram).saturating_record((clock.now() - since).0);
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}

// The look-up names the first entry VM as home; the experiment wants this one.
fn prefix(home: &Entry, snapshot: &Snapshot, service: &Arc<str>) -> Arc<str> {
    let mut alone = snapshot.clone();
    alone.vms.truncate(HOME + 1);
    home.install(Arc::new(alone));
    let query = Query { block: BLOCK, service: Arc::clone(service), token: None };
    let answer = home.look_up(&query).expect("a known block and service");
    home.install(Arc::new(snapshot.clone()));
    answer.order_prefix
}

fn snapshot(scene: Scene) -> Snapshot {
    let mut snapshot = scene.snapshot();
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
        let server = Server::new(Arc::clone(&upstream.name), clock, Shape::default());
        fleet.put(upstream.address, Arc::new(server));
    }
    Arc::new(fleet)
}
