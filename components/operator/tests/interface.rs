//! The operators' interface over HTTP: keys, size limits, typed refusals and lost responses.

use errors::Kind;
use operator::fake::Control;
use operator::wire::{Apply, CancelDrain, Outcome, UsePreset};
use operator::{Api, Client, Key, router};
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::prelude::Server;
use settings::Source;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use tokio::net::TcpListener as RawListener;

const SECRET: &str = "0123456789abcdef0123456789abcdef";

struct Fixture {
    control: Arc<Control>,
    address: SocketAddr,
}

async fn serve() -> Fixture {
    let control = Arc::new(Control::default());
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let acceptor = TcpListener::new(any).try_bind().await.unwrap();
    let address = acceptor.holdings()[0].local_addr.clone().into_std().unwrap();
    let api: Arc<dyn Api> = Arc::<Control>::clone(&control);
    tokio::spawn(Server::new(acceptor).serve(router(Key::new(SECRET.into()), api)));
    Fixture { control, address }
}

fn client(address: SocketAddr, secret: &str) -> Client {
    Client::new(address, Key::new(secret.into())).unwrap()
}

fn example() -> Source {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/maalwerk");
    settings::read(&root).unwrap()
}

fn apply(expected: u64, operation: &str) -> Apply {
    Apply { expected, operation: operation.into(), source: example() }
}

fn use_preset(expected: u64, operation: &str, preset: &str) -> UsePreset {
    UsePreset { expected, operation: operation.into(), preset: preset.into() }
}

#[tokio::test]
async fn a_wrong_or_missing_key_is_refused_on_every_path() {
    let fixture = serve().await;
    let wrong = client(fixture.address, "0123456789abcdef0123456789abcdeg");
    assert_eq!(wrong.status().await.unwrap_err().kind, Kind::Unauthorized);
    assert_eq!(wrong.apply(apply(0, "a")).await.unwrap_err().kind, Kind::Unauthorized);
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    for path in ["v1/status", "v1/apply", "metrics", "elsewhere"] {
        let url = format!("http://{}/{path}", fixture.address);
        let keyless = http.get(&url).send().await.unwrap();
        assert_eq!(keyless.status(), 401, "{path}");
        let without_scheme = http.get(&url).header("authorization", SECRET).send().await.unwrap();
        assert_eq!(without_scheme.status(), 401, "{path}");
    }
    let right = client(fixture.address, SECRET);
    assert_eq!(right.status().await.unwrap().version, 0);
}

#[tokio::test]
async fn a_conflict_names_the_winner_and_a_retry_is_idempotent() {
    let fixture = serve().await;
    let api = client(fixture.address, SECRET);
    assert_eq!(api.apply(apply(0, "first")).await.unwrap().version, 1);
    assert_eq!(api.use_preset(use_preset(1, "peak", "peak")).await.unwrap().version, 2);
    let refusal = api.use_preset(use_preset(1, "late", "maintenance")).await.unwrap_err();
    assert_eq!(refusal.kind, Kind::Conflict);
    let winner = refusal.winner.unwrap();
    assert_eq!((winner.version, &*winner.operation), (2, "peak"));
    assert_eq!(api.use_preset(use_preset(1, "peak", "peak")).await.unwrap().version, 2);
    assert_eq!(&*api.current().await.unwrap().preset, "peak");
}

#[tokio::test]
async fn a_lost_response_names_the_operation_whose_outcome_can_be_queried() {
    let fixture = serve().await;
    let api = client(fixture.address, SECRET);
    fixture.control.drop_next_response();
    let refusal = api.apply(apply(0, "first")).await.unwrap_err();
    assert_eq!(refusal.kind, Kind::OutcomeUnknown);
    assert_eq!(refusal.operation.as_deref(), Some("first"));
    assert_eq!(api.outcome("first".into()).await.unwrap(), Outcome::Committed { version: 1 });
    assert_eq!(api.outcome("other".into()).await.unwrap(), Outcome::NotRun);
}

#[tokio::test]
async fn a_refused_connection_is_not_ready_and_one_closed_after_sending_is_unknown() {
    let listener = RawListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let change = CancelDrain { expected: 1, operation: "cancel".into(), drain: "d".into() };
    let closing = tokio::spawn(async move { drop(listener.accept().await.unwrap()) });
    let refusal = client(address, SECRET).cancel_drain(change.clone()).await.unwrap_err();
    closing.await.unwrap();
    assert_eq!(refusal.kind, Kind::OutcomeUnknown);
    assert_eq!(refusal.operation.as_deref(), Some("cancel"));
    let refusal = client(address, SECRET).cancel_drain(change).await.unwrap_err();
    assert_eq!(refusal.kind, Kind::NotReady);
}

#[tokio::test]
async fn oversized_and_malformed_requests_get_typed_refusals() {
    let fixture = serve().await;
    let api = client(fixture.address, SECRET);
    let mut change = apply(0, "large");
    change.source.deployment = "#".repeat(9 << 20);
    assert_eq!(api.apply(change).await.unwrap_err().kind, Kind::TooLarge);
    let drain = "d".repeat(65 << 10).into();
    let change = CancelDrain { expected: 0, operation: "large".into(), drain };
    assert_eq!(api.cancel_drain(change).await.unwrap_err().kind, Kind::TooLarge);
    assert_eq!(api.status().await.unwrap().version, 0);

    let mut change = apply(0, "bad");
    change.source.presets.clear();
    assert_eq!(api.apply(change).await.unwrap_err().kind, Kind::BadSettings);

    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{}/v1/apply", fixture.address);
    let bearer = format!("Bearer {SECRET}");
    let response = http.post(&url).header("authorization", &bearer).body("{").send().await.unwrap();
    assert_eq!(response.status(), 400);
    let body: operator::Refusal = serde_json::from_str(&response.text().await.unwrap()).unwrap();
    assert_eq!(body.kind, Kind::Malformed);
}
