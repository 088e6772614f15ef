//! The HTTP client and the stand-in server speak the same protocol.

use clock::Clock;
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::prelude::Server;
use std::sync::Arc;
use store::fake::{Fault, Platform};
use store::{Check, Commit, Directory, Failure, Store, Table, Transaction, Write, http, standin};

struct Fixture {
    platform: Arc<Platform>,
    client: http::Client,
}

async fn start() -> Fixture {
    let platform = Platform::new(Clock::system());
    let acceptor = TcpListener::new("127.0.0.1:0").bind().await;
    let address = acceptor.holdings()[0].local_addr.clone().into_std().expect("an address");
    let server = Server::new(acceptor).serve(standin::router(Arc::clone(&platform)));
    tokio::spawn(server);
    Fixture { platform, client: http::Client::new(vec![address]).expect("a client") }
}

fn insert(id: &str) -> Transaction {
    Transaction {
        id: id.into(),
        checks: vec![Check { key: "row".into(), version: 0 }],
        writes: vec![Write { key: "row".into(), value: Some(id.into()) }],
    }
}

#[tokio::test]
async fn rows_objects_and_machines_round_trip() {
    let Fixture { client, .. } = start().await;
    assert_eq!(client.read("row").await, Ok(None));
    assert_eq!(client.commit(insert("t1")).await, Ok(Commit::Done));
    let row = client.read("row").await.expect("a response").expect("a row");
    assert_eq!((row.version, row.value.as_slice()), (1, b"t1".as_slice()));
    assert!(matches!(client.commit(insert("t2")).await, Ok(Commit::Conflict { .. })));
    let digest = client.put(vec![0, 255]).await.expect("a digest");
    assert_eq!(client.get(&digest).await, Ok(Some(vec![0, 255])));
    assert_eq!(client.get("absent").await, Ok(None));
    assert!(client.list().await.expect("a list").machines.is_empty());
}

#[tokio::test]
async fn faults_keep_their_meaning_over_http() {
    let Fixture { platform, client } = start().await;
    platform.inject(Fault::LoseAnswers(1));
    assert!(matches!(client.commit(insert("t1")).await, Err(Failure::Lost { .. })));
    assert!(platform.row("row").is_some());
    platform.inject(Fault::Down);
    assert!(matches!(client.read("row").await, Err(Failure::Unavailable { .. })));
    let nowhere = http::Client::new(vec!["127.0.0.1:1".parse().expect("an address")]);
    let refused = nowhere.expect("a client").commit(insert("t3")).await;
    assert!(matches!(refused, Err(Failure::Unavailable { .. })));
}
