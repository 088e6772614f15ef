//! The in-memory platform keeps the rules that the real one promises, under each fault.

use clock::{Clock, Millis};
use std::sync::Arc;
use store::fake::{Fault, Platform};
use store::{Check, Commit, Directory, Failure, ListedVm, Role, Store, Table, Transaction, Write};

fn insert(id: &str, key: &str) -> Transaction {
    Transaction {
        id: id.into(),
        checks: vec![Check { key: key.into(), version: 0 }],
        writes: vec![Write { key: key.into(), value: Some(id.into()) }],
    }
}

fn vm(name: &str) -> ListedVm {
    let address = "127.0.0.1:1".parse().expect("an address");
    ListedVm {
        name: name.into(),
        domain: "gent-1".into(),
        role: Role::Upstream { service: "status-desk".into(), address },
        leaving: false,
    }
}

fn platform() -> Arc<Platform> {
    Platform::new(Clock::at(Millis(1_000_000)))
}

#[tokio::test(start_paused = true)]
async fn only_the_first_insert_of_a_row_takes_effect() {
    let client = platform().client("a");
    assert_eq!(client.commit(insert("t1", "row")).await, Ok(Commit::Done));
    let second = client.commit(insert("t2", "row")).await.expect("a response");
    let Commit::Conflict { row: Some(row), .. } = second else { panic!("{second:?}") };
    assert_eq!(&*row.transaction, "t1");
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_leaves_the_write_and_a_lost_request_does_not() {
    let platform = platform();
    let client = platform.client("a");
    platform.inject(Fault::LoseAnswers(1));
    assert!(matches!(client.commit(insert("t1", "kept")).await, Err(Failure::Lost { .. })));
    assert!(platform.row("kept").is_some());
    platform.clear_faults();
    platform.inject(Fault::LoseRequests(1));
    assert!(matches!(client.commit(insert("t2", "lost")).await, Err(Failure::Lost { .. })));
    assert!(platform.row("lost").is_none());
}

#[tokio::test(start_paused = true)]
async fn an_outage_can_concern_one_client_alone() {
    let platform = platform();
    platform.inject(Fault::Cut("a".into()));
    assert!(platform.client("a").read("row").await.is_err());
    assert!(platform.client("b").read("row").await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn the_vm_list_lags() {
    let platform = platform();
    let client = platform.client("a");
    platform.inject(Fault::Lag(Millis(500)));
    tokio::time::sleep(Millis(1_000).duration()).await;
    platform.register(vm("u1"));
    assert!(client.list().await.expect("a list").machines.is_empty());
    tokio::time::sleep(Millis(501).duration()).await;
    assert_eq!(client.list().await.expect("a list").machines.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn objects_are_found_under_their_digest() {
    let client = platform().client("a");
    let digest = client.put(b"body".to_vec()).await.expect("a digest");
    assert_eq!(client.get(&digest).await, Ok(Some(b"body".to_vec())));
    assert_eq!(client.get("absent").await, Ok(None));
}
