//! Tests of the callers' protocol over real sockets, with stand-in upstreams.

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
use upstream::fake::{Fault, Performance, Server, entity};

const ANY_PORT: ([u8; 4], u16) = ([127, 0, 0, 1], 0);
const BLOCK: &str = "0.0.0.0/24";
const LARGE: &str = "/bytes/3000000";
/// An entry VM admits nothing in its first second.
const START_UP_TIME: Millis = Millis(1_100);

struct Fixture {
    fakes: Vec<Arc<Server>>,
    listeners: Vec<Listener>,
    address: SocketAddr,
    client: Client,
    entry: Entry,
}

impl Fixture {
    async fn start() -> Fixture {
        let clock = Clock::system();
        let (mut fakes, mut listeners, mut upstreams) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..3 {
            let name: Arc<str> = format!("u{number}").into();
            let performance = Performance {
                chunk_bytes: 64 << 10,
                chunk_interval: Millis::ZERO,
                ..Performance::default()
            };
            let fake = Arc::new(Server::new(Arc::clone(&name), clock, performance));
            let router = Standin::new(Arc::clone(&fake)).router();
            let listener = Listener::open(ANY_PORT.into(), router).await.expect("a free port");
            upstreams.push(upstream(name, listener.address()));
            fakes.push(fake);
            listeners.push(listener);
        }
        let entry = entry(clock);
        entry.install(Arc::new(snapshot_with(upstreams)));
        let router = caller::router(Arc::new(entry.clone()));
        let listener = Listener::open(ANY_PORT.into(), router).await.expect("a free port");
        let address = listener.address();
        listeners.push(listener);
        clock.sleep(START_UP_TIME).await;
        Fixture { fakes, listeners, address, client: Client::new(), entry }
    }

    // A suspected upstream gets a request only after all others have failed.
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
        self.request(Method::GET, path).send().await.expect("a response")
    }

    fn ran(&self) -> usize {
        self.fakes.iter().map(|fake| fake.runs().len()).sum()
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
    let transport = upstream::Client::new(upstream::Settings::default()).expect("a client");
    let table = Platform::new(clock).client("vm-0000");
    let relays = RelayNetwork::new(clock, Millis::ZERO);
    Entry::new(settings, clock, 1, Arc::new(transport), table, relays)
}

fn upstream(name: Arc<str>, address: SocketAddr) -> Upstream {
    Upstream { name, service: "desk".into(), domain: "nord-0".into(), address, state: State::Live }
}

fn snapshot_with(upstreams: Vec<Upstream>) -> Snapshot {
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
async fn a_broken_download_resumes_from_another_upstream() {
    let fixture = Fixture::start().await;
    let complete = fixture.get(LARGE).await;
    assert_eq!(complete.content_length(), Some(3_000_000));
    assert_eq!(complete.bytes().await.expect("a complete body"), entity(LARGE, 0));
    let ran = fixture.ran();
    fixture.suspect_last();
    fixture.fakes[..2].iter().for_each(|fake| fake.inject(Fault::DieHalfway));
    let resumed = fixture.get(LARGE).await.bytes().await.expect("a complete body");
    assert_eq!(resumed, entity(LARGE, 0));
    assert_eq!(fixture.ran() - ran, 3);
    fixture.close().await;
}

#[tokio::test]
async fn a_truncated_response_never_looks_complete() {
    let fixture = Fixture::start().await;
    for _ in 0..6 {
        fixture.fakes.iter().for_each(|fake| fake.inject(Fault::DieHalfway));
    }
    assert!(fixture.get(LARGE).await.bytes().await.is_err());
    let order = fixture.request(Method::POST, LARGE).send().await.expect("a head");
    assert!(order.bytes().await.is_err());
    fixture.close().await;
}

#[tokio::test]
async fn an_order_runs_once_and_its_retry_gets_the_same_response() {
    let fixture = Fixture::start().await;
    let first = fixture.request(Method::POST, "/place").send().await.expect("a response");
    assert_eq!(first.status(), StatusCode::OK);
    let id = first.headers()[header::ORDER_ID].clone();
    let response = first.bytes().await.expect("a body");
    let retry = fixture.request(Method::POST, "/place").header(header::ORDER_ID, id);
    let retry = retry.send().await.expect("a response");
    assert_eq!(retry.bytes().await.expect("a body"), response);
    assert_eq!(fixture.ran(), 1);
    fixture.close().await;
}

#[tokio::test]
async fn a_caller_that_disconnects_frees_its_upstream() {
    let fixture = Fixture::start().await;
    fixture.fakes.iter().for_each(|fake| fake.set_service_time(Millis(60_000)));
    let disconnected =
        fixture.request(Method::GET, "/slow").timeout(std::time::Duration::from_millis(300));
    assert!(disconnected.send().await.is_err());
    let running = || fixture.fakes.iter().map(|fake| fake.load().map_or(0, |load| load.running));
    while running().sum::<u32>() > 0 {
        tokio::task::yield_now().await;
    }
    fixture.close().await;
}

#[tokio::test]
async fn bad_input_gets_a_typed_refusal() {
    let fixture = Fixture::start().await;
    let get = |path: &str| fixture.request(Method::GET, path);
    let send = |request: RequestBuilder| async { request.send().await.expect("a response") };
    let url = |path: &str| format!("http://{}{path}", fixture.address);

    let no_block = fixture.client.get(url("/v1/services/desk/x"));
    assert_refused(send(no_block).await, 400, "malformed", "not_run").await;
    let bad_deadline = get("/x").header(header::DEADLINE, "soon");
    assert_refused(send(bad_deadline).await, 400, "malformed", "not_run").await;
    let two_ids = get("/x").header(header::REQUEST_ID, "a").header(header::REQUEST_ID, "b");
    assert_refused(send(two_ids).await, 400, "malformed", "not_run").await;
    let large_header = get("/x").header("x-large", "a".repeat(20_000));
    assert_refused(send(large_header).await, 413, "too_large", "not_run").await;
    let large_body = fixture.request(Method::POST, "/x").body(vec![0; 2 << 20]);
    assert_refused(send(large_body).await, 413, "too_large", "not_run").await;
    let unknown_service =
        fixture.client.get(url("/v1/services/none/x")).header(header::BLOCK, BLOCK);
    assert_refused(send(unknown_service).await, 404, "unknown_service", "not_run").await;
    let unknown_block =
        fixture.client.get(url("/v1/services/desk/x")).header(header::BLOCK, "9.9.9.0/24");
    assert_refused(send(unknown_block).await, 404, "unknown_block", "not_run").await;
    let forged_order = fixture.request(Method::POST, "/x").header(header::ORDER_ID, "h~e~1~1~00~x");
    assert_refused(send(forged_order).await, 403, "forged_token", "not_run").await;
    let forged_token =
        fixture.client.get(url("/v1/lookup?block=0.0.0.0/24&service=desk&token=forged"));
    assert_refused(send(forged_token).await, 403, "forged_token", "not_run").await;
    let unknown_path = fixture.client.get(url("/v2"));
    assert_refused(send(unknown_path).await, 400, "malformed", "not_run").await;
    assert_eq!(fixture.ran(), 0);
    fixture.close().await;
}

#[tokio::test]
async fn a_look_up_returns_entry_vms_a_lease_and_a_renewal_token() {
    let fixture = Fixture::start().await;
    let url = format!("http://{}/v1/lookup?block=0.0.0.0/24&service=desk", fixture.address);
    let response = fixture.client.get(&url).send().await.expect("a response");
    let text = response.text().await.expect("a body");
    let response: caller::lookup::Response = serde_json::from_str(&text).expect("a response");
    assert_eq!(response.entries.len(), 3);
    assert!(response.lease_ms > 0);
    let renewed = fixture.client.get(format!("{url}&token={}", response.token)).send().await;
    assert_eq!(renewed.expect("a response").status(), StatusCode::OK);
    fixture.close().await;
}

#[tokio::test]
async fn requests_are_refused_as_not_run_if_no_upstream_accepts_connections() {
    let mut fixture = Fixture::start().await;
    for listener in fixture.listeners.drain(..3) {
        listener.close(Millis::ZERO).await;
    }
    assert_refused(fixture.get("/x").await, 503, "no_upstream", "not_run").await;
    assert_eq!(fixture.ran(), 0);
    fixture.close().await;
}
