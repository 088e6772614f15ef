//! Messages, orders and snapshots over sockets on the loopback interface.

use async_trait::async_trait;
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use peer::http::{self, Key};
use peer::local::{self, Report, Source, Stamp, StampedSnapshot};
use peer::message::{Body, Header, MAX_MESSAGE, Record, Request};
use peer::relay::{Executor, Order, Outcome, Relay, Response};
use peer::{Blob, Failure, Handler, Message, Reply, Transport};
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use steering::sample::{self, Size};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

struct EchoHandler;

#[async_trait]
impl Handler for EchoHandler {
    async fn handle(&self, message: Message) -> Reply {
        let body = match message.request {
            Request::Declaration { digest } => {
                Body::Declaration(Blob(Bytes::copy_from_slice(digest.as_bytes())))
            }
            _ => Body::Acknowledged,
        };
        Reply { header: message.header, body }
    }
}

struct EchoExecutor;

#[async_trait]
impl Executor for EchoExecutor {
    async fn run(&self, order: Order) -> Outcome {
        Outcome::Answered(Response { status: 200, headers: order.headers, body: order.body })
    }
}

/// Provides one snapshot, of this configuration version.
struct FixedSource(u64);

#[async_trait]
impl Source for FixedSource {
    async fn next(&self, report: Report) -> Option<StampedSnapshot> {
        let stamp = Stamp { incarnation: 1, number: self.0 };
        let mut snapshot = sample::snapshot(Size::TODAY);
        snapshot.version = self.0;
        (report.stamp != Some(stamp))
            .then(|| StampedSnapshot { stamp, snapshot: Arc::new(snapshot) })
    }
}

fn key(secret: &str) -> Key {
    Key::new(secret.into())
}

async fn serve(router: Router) -> (SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    let acceptor = TcpAcceptor::try_from(listener).expect("a bound socket");
    (address, tokio::spawn(Server::new(acceptor).serve(router)))
}

/// An address without a listener.
async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    listener.local_addr().expect("a bound socket")
}

fn message(request: Request) -> Message {
    let own = Record { vm: sample::vm(3), beat: 7 };
    let header = Header {
        own,
        stamp: Default::default(),
        records: Vec::new(),
        leaving_notices: Vec::new(),
        roster_digest: Default::default(),
    };
    Message { header, request }
}

fn order(body: Vec<u8>) -> Order {
    Order {
        id: "id".into(),
        service: "order-desk".into(),
        method: "POST".into(),
        path: "/orders".into(),
        headers: Vec::new(),
        body: Blob(body.into()),
        block: 1,
        budget: Millis(2000),
    }
}

#[tokio::test]
async fn a_message_arrives_unchanged() {
    let (to, _server) = serve(http::router(key("right"), Arc::new(EchoHandler))).await;
    let client = http::Client::new(key("right"));
    let sent = message(Request::Declaration { digest: "abc".into() });
    let reply = client.call(to, sent.clone()).await.expect("a reply");
    assert_eq!(reply.header, sent.header);
    assert_eq!(reply.body, Body::Declaration(Blob(Bytes::from_static(b"abc"))));
}

#[tokio::test]
async fn a_wrong_key_is_refused_by_every_router() {
    let router = Router::new()
        .push(http::router(key("right"), Arc::new(EchoHandler)))
        .push(http::relay_router(key("right"), Arc::new(EchoExecutor)))
        .push(local::Server::router(key("right"), Arc::new(FixedSource(1))));
    let (to, _server) = serve(router).await;
    let refused = |failure| matches!(failure, Failure::Refused { kind: Kind::Unauthorized, .. });
    let call = http::Client::new(key("wrong")).call(to, message(Request::Heartbeat)).await;
    assert!(refused(call.expect_err("a refusal")));
    let relay = http::Relay::new(key("wrong")).relay(to, order(Vec::new())).await;
    assert!(refused(relay.expect_err("a refusal")));
    let mut local = local::Client::new(key("wrong"), to, Vec::new());
    assert!(refused(local.next(Report::default()).await.expect_err("a refusal")));
}

#[tokio::test]
async fn oversized_and_malformed_messages_get_status_413_and_400() {
    let (to, _server) = serve(http::router(key("right"), Arc::new(EchoHandler))).await;
    let post = async |body: Vec<u8>| {
        let request = reqwest::Client::new().post(format!("http://{to}/peer"));
        request.header(http::HEADER, "right").body(body).send().await.expect("a response").status()
    };
    assert_eq!(post(vec![0; MAX_MESSAGE + 1]).await, 413);
    assert_eq!(post(vec![0xc1; 100]).await, 400);
}

#[tokio::test]
async fn an_order_is_relayed_unchanged_and_not_sent_without_a_listener() {
    let (to, _server) = serve(http::relay_router(key("right"), Arc::new(EchoExecutor))).await;
    let relay = http::Relay::new(key("right"));
    let body: Vec<u8> = (0..=255).cycle().take(100_000).collect();
    let outcome = relay.relay(to, order(body.clone())).await.expect("an outcome");
    let Outcome::Answered(response) = outcome else { panic!("{outcome:?}") };
    assert_eq!(response.body.0, body);
    let failure = relay.relay(unused_address().await, order(body)).await.expect_err("no listener");
    assert!(matches!(failure, Failure::NotSent { .. }), "{failure}");
}

#[tokio::test]
async fn a_connection_closed_before_the_reply_is_lost_and_never_not_sent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let to = listener.local_addr().expect("a bound socket");
    let _server = tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            socket.readable().await.expect("a request");
            drop(socket);
        }
    });
    let failure = http::Relay::new(key("right")).relay(to, order(Vec::new())).await;
    let failure = failure.expect_err("the connection breaks");
    assert!(matches!(failure, Failure::Lost { .. }), "{failure}");
}

#[tokio::test]
async fn a_peer_provides_the_first_snapshot_while_the_own_controld_is_dead() {
    let (peer, _server) = serve(local::Server::router(key("k"), Arc::new(FixedSource(4)))).await;
    let mut client = local::Client::new(key("k"), unused_address().await, vec![peer]);
    let snapshot = client.next(Report::default()).await.expect("a response from the peer");
    assert_eq!(snapshot.expect("a first snapshot").version, 4);
    assert!(
        client.next(Report::default()).await.is_err(),
        "peers are polled only for the first snapshot"
    );
}

#[test]
fn a_stale_snapshot_never_reverts_the_version_or_the_plan() {
    let mut held = sample::snapshot(Size::TODAY);
    held.version = 5;
    held.plan.sequence = 9;
    let mut stale = sample::snapshot(Size::TODAY);
    stale.version = 4;
    stale.vms.truncate(3);
    let merged = local::merge(&held, &stale);
    assert_eq!((merged.version, merged.plan.sequence), (5, 9));
    assert_eq!(merged.vms.len(), 3);
}
