//! The callers' protocol over real sockets, with stand-in upstreams.

use caller::header;
use clock::{Clock, Millis};
use daemon::Listener;
use entry::fake::RelayNetwork;
use entry::{Entry, Settings};
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use settings::{Class, Service};
use std::net::SocketAddr;
use std::sync::Arc;
use steering::sample::{Size, snapshot};
use steering::{Snapshot, State, Upstream};
use store::fake::Platform;
use upstream::Standin;
use upstream::fake::{Fault, Server, Shape, entity};

const ANY: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const BLOCK: &str = "0.0.0.0/24";
const LARGE: &str = "/bytes/3000000";
const START: Millis = Millis(1_100);

struct Bench {
    servers: Vec<Arc<Server>>,
    listeners: Vec<Listener>,
    address: SocketAddr,
    client: Client,
    entry: Entry,
}

impl Bench {
    async fn open() -> Bench {
        let clock = Clock::system();
        let (mut servers, mut listeners, mut upstreams) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..3 {
            let name: Arc<str> = format!("u{number}").into();
            let shape = Shape { chunk: 64 << 10, gap: Millis::ZERO, ..Shape::default() };
            let server = Arc::new(Server::new(Arc::clone(&name), clock, shape));
            let router = Standin::new(Arc::clone(&server)).router();
            let listener = Listener::open(ANY.into(), router).await.expect("a free port");
            upstreams.push(upstream(name, listener.address()));
            servers.push(server);
            listeners.push(listener);
        }
        let entry = entry(clock);
        entry.install(Arc::new(with(upstreams)));
        let router = caller::router(Arc::new(entry.clone()));
        let listener = Listener::open(ANY.into(), router).await.expect("a free port");
        let address = listener.address();
        listeners.push(listener);
        clock.sleep(START).await;
        Bench { servers, listeners, address, client: Client::new(), entry }
    }

    // A suspect upstream gets a request only after every other one has failed.
    fn suspect_last(&self) {
        let mut snapshot = (*self.entry.snapshot().expect("a snapshot")).clone();
        snapshot.upstreams.last_mut().expect("an upstream").state = State::Suspect;
        self.entry.install(Arc::new(snapshot));
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        let url = format!("http://{}/v1/services/desk{path}", self.address);
        self.client.request(method, url).header(header::BLOCK, BLOCK)
    }

    async fn get(&self, path: &str) -> Response {
        self.request(Method::GET, path).send().await.expect("an answer")
    }

    fn ran(&self) -> usize {
        self.servers.iter().map(|server| server.ran().len()).sum()
    }

    async fn close(self) {
        self.entry.close().await;
        for listener in self.listeners {
            listener.close(Millis(100)).await;
        }
    }
}

fn entry(clock: Clock) -> Entry {
    let settings =
        Settings::new("vm-0000".into(), "nord-0".into(), 1, "a key for this test".into());
    let transport = upstream::Client::new(upstream::Config::default()).expect("a client");
    let table = Platform::new(clock).client("vm-0000");
    let relays = RelayNetwork::new(clock, Millis::ZERO);
    Entry::new(settings, clock, 1, Arc::new(transport), table, relays)
}

fn upstream(name: Arc<str>, address: SocketAddr) -> Upstream {
    Upstream { name, service: "desk".into(), domain: "nord-0".into(), address, state: State::Live }
}

fn with(upstreams: Vec<Upstream>) -> Snapshot {
    let mut snapshot = snapshot(Size { vms: 3, sites: 3, blocks: 4 });
    let mut deployment = (*snapshot.deployment).clone();
    deployment.services.push(Service {
        name: "desk".into(),
        class: Class::Short,
        servers: 3,
        slots: 3,
        connections: 330,
        connect: Millis(1),
        deadline: Millis(5_000),
    });
    snapshot.deployment = Arc::new(deployment);
    snapshot.upstreams = upstreams;
    snapshot
}

async fn assert_refused(response: Response, status: u16, kind: &str, ran: &str) {
    assert_eq!(response.status().as_u16(), status);
    assert_eq!(response.headers()[header::RAN], ran);
    let body = response.text().await.expect("a body");
    assert!(body.contains(&format!("\"kind\":\"{kind}\"")), "{body}");
}

#[tokio::test]
async fn an_answer_arrives_whole_and_goes_on_elsewhere_when_it_breaks() {
    let bench = Bench::open().await;
    let whole = bench.get(LARGE).await;
    assert_eq!(whole.content_length(), Some(3_000_000));
    assert_eq!(whole.bytes().await.expect("a whole body"), entity(LARGE, 0));
    let ran = bench.ran();
    bench.suspect_last();
    bench.servers[..2].iter().for_each(|server| server.inject(Fault::DieHalfway));
    let resumed = bench.get(LARGE).await.bytes().await.expect("a whole body");
    assert_eq!(resumed, entity(LARGE, 0));
    assert_eq!(bench.ran() - ran, 3);
    bench.close().await;
}

#[tokio::test]
async fn a_cut_answer_is_never_shown_as_complete() {
    let bench = Bench::open().await;
    for _ in 0..6 {
        bench.servers.iter().for_each(|server| server.inject(Fault::DieHalfway));
    }
    assert!(bench.get(LARGE).await.bytes().await.is_err());
    let order = bench.request(Method::POST, LARGE).send().await.expect("a head");
    assert!(order.bytes().await.is_err());
    bench.close().await;
}

#[tokio::test]
async fn an_order_runs_once_and_its_repeat_gets_the_same_answer() {
    let bench = Bench::open().await;
    let first = bench.request(Method::POST, "/place").send().await.expect("an answer");
    assert_eq!(first.status(), StatusCode::OK);
    let id = first.headers()[header::ORDER_ID].clone();
    let answer = first.bytes().await.expect("a body");
    let again = bench.request(Method::POST, "/place").header(header::ORDER_ID, id);
    let again = again.send().await.expect("an answer");
    assert_eq!(again.bytes().await.expect("a body"), answer);
    assert_eq!(bench.ran(), 1);
    bench.close().await;
}

#[tokio::test]
async fn a_caller_that_goes_frees_its_upstream() {
    let bench = Bench::open().await;
    bench.servers.iter().for_each(|server| server.set_service(Millis(60_000)));
    let gone = bench.request(Method::GET, "/slow").timeout(std::time::Duration::from_millis(300));
    assert!(gone.send().await.is_err());
    let running =
        || bench.servers.iter().map(|server| server.load().map_or(0, |load| load.running));
    while running().sum::<u32>() > 0 {
        tokio::task::yield_now().await;
    }
    bench.close().await;
}

#[tokio::test]
async fn bad_input_gets_a_typed_refusal() {
    let bench = Bench::open().await;
    let get = |path: &str| bench.request(Method::GET, path);
    let send = |request: RequestBuilder| async { request.send().await.expect("an answer") };
    let url = |path: &str| format!("http://{}{path}", bench.address);

    let no_block = bench.client.get(url("/v1/services/desk/x"));
    assert_refused(send(no_block).await, 400, "malformed", "not_run").await;
    let bad_deadline = get("/x").header(header::DEADLINE, "soon");
    assert_refused(send(bad_deadline).await, 400, "malformed", "not_run").await;
    let twice = get("/x").header(header::REQUEST_ID, "a").header(header::REQUEST_ID, "b");
    assert_refused(send(twice).await, 400, "malformed", "not_run").await;
    let large_header = get("/x").header("x-large", "a".repeat(20_000));
    assert_refused(send(large_header).await, 413, "too_large", "not_run").await;
    let large_body = bench.request(Method::POST, "/x").body(vec![0; 2 << 20]);
    assert_refused(send(large_body).await, 413, "too_large", "not_run").await;
    let unknown = bench.client.get(url("/v1/services/none/x")).header(header::BLOCK, BLOCK);
    assert_refused(send(unknown).await, 404, "unknown_service", "not_run").await;
    let far = bench.client.get(url("/v1/services/desk/x")).header(header::BLOCK, "9.9.9.0/24");
    assert_refused(send(far).await, 404, "unknown_block", "not_run").await;
    let forged = bench.request(Method::POST, "/x").header(header::ORDER_ID, "h~e~1~1~00~x");
    assert_refused(send(forged).await, 403, "forged_token", "not_run").await;
    let token = bench.client.get(url("/v1/lookup?block=0.0.0.0/24&service=desk&token=forged"));
    assert_refused(send(token).await, 403, "forged_token", "not_run").await;
    let elsewhere = bench.client.get(url("/v2"));
    assert_refused(send(elsewhere).await, 400, "malformed", "not_run").await;
    assert_eq!(bench.ran(), 0);
    bench.close().await;
}

#[tokio::test]
async fn a_look_up_names_entries_a_lease_and_a_token_that_renews_it() {
    let bench = Bench::open().await;
    let url = format!("http://{}/v1/lookup?block=0.0.0.0/24&service=desk", bench.address);
    let answer = bench.client.get(&url).send().await.expect("an answer");
    let text = answer.text().await.expect("a body");
    let answer: caller::lookup::Answer = serde_json::from_str(&text).expect("an answer");
    assert_eq!(answer.entries.len(), 3);
    assert!(answer.lease_ms > 0);
    let renewed = bench.client.get(format!("{url}&token={}", answer.token)).send().await;
    assert_eq!(renewed.expect("an answer").status(), StatusCode::OK);
    bench.close().await;
}

#[tokio::test]
async fn upstreams_that_refuse_connections_are_refused_as_not_run() {
    let mut bench = Bench::open().await;
    for listener in bench.listeners.drain(..3) {
        listener.close(Millis::ZERO).await;
    }
    assert_refused(bench.get("/x").await, 503, "no_upstream", "not_run").await;
    assert_eq!(bench.ran(), 0);
    bench.close().await;
}
