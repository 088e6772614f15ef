//! Messages, orders and snapshots over real sockets on loopback.

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

struct Peer;

#[async_trait]
impl Handler for Peer {
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

struct Echo;

#[async_trait]
impl Executor for Echo {
    async fn run(&self, order: Order) -> Outcome {
        Outcome::Answered(Response { status: 200, headers: order.headers, body: order.body })
    }
}

struct Fixed(u64);

#[async_trait]
impl Source for Fixed {
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

/// An address at which nobody listens.
async fn nobody() -> SocketAddr {
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
async fn a_message_arrives_as_it_was_sent() {
    let (to, _server) = serve(http::router(key("right"), Arc::new(Peer))).await;
    let client = http::Client::new(key("right"));
    let sent = message(Request::Declaration { digest: "abc".into() });
    let reply = client.call(to, sent.clone()).await.expect("a reply");
    assert_eq!(reply.header, sent.header);
    assert_eq!(reply.body, Body::Declaration(Blob(Bytes::from_static(b"abc"))));
}

#[tokio::test]
async fn a_wrong_key_is_refused_everywhere() {
    let router = Router::new()
        .push(http::router(key("right"), Arc::new(Peer)))
        .push(http::relay_router(key("right"), Arc::new(Echo)))
        .push(local::Server::router(key("right"), Arc::new(Fixed(1))));
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
async fn a_message_that_is_too_large_or_malformed_is_refused_as_such() {
    let (to, _server) = serve(http::router(key("right"), Arc::new(Peer))).await;
    let post = async |body: Vec<u8>| {
        let request = reqwest::Client::new().post(format!("http://{to}/peer"));
        request.header(http::HEADER, "right").body(body).send().await.expect("an answer").status()
    };
    assert_eq!(post(vec![0; MAX_MESSAGE + 1]).await, 413);
    assert_eq!(post(vec![0xc1; 100]).await, 400);
}

#[tokio::test]
async fn an_order_is_relayed_whole_and_not_sent_where_nobody_listens() {
    let (to, _server) = serve(http::relay_router(key("right"), Arc::new(Echo))).await;
    let relay = http::Relay::new(key("right"));
    let body: Vec<u8> = (0..=255).cycle().take(100_000).collect();
    let outcome = relay.relay(to, order(body.clone())).await.expect("an outcome");
    let Outcome::Answered(answer) = outcome else { panic!("{outcome:?}") };
    assert_eq!(answer.body.0, body);
    let failure = relay.relay(nobody().await, order(body)).await.expect_err("nobody listens");
    assert!(matches!(failure, Failure::NotSent { .. }), "{failure}");
}

#[tokio::test]
async fn a_reply_that_breaks_off_is_lost_and_never_called_not_sent() {
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
async fn a_neighbour_gives_the_first_snapshot_while_the_own_agent_is_dead() {
    let (neighbour, _server) = serve(local::Server::router(key("k"), Arc::new(Fixed(4)))).await;
    let mut client = local::Client::new(key("k"), nobody().await, vec![neighbour]);
    let snapshot = client.next(Report::default()).await.expect("a neighbour answers");
    assert_eq!(snapshot.expect("a first snapshot").version, 4);
    assert!(client.next(Report::default()).await.is_err(), "what is held stays");
}

#[test]
fn a_stale_snapshot_never_takes_back_what_is_held() {
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
