//! Changes that take long to transfer, as a slow link needs for a large configuration.

mod world;

use clock::Millis;
use http1::{Reader, encode};
use std::sync::Arc;
use steering::catalogue::{Batch, Change, Content, Feed};
use steering::routing::Effect;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use world::caller::get;
use world::probe::Probe;
use world::{Vm, World, configuration, route, run_test, until};

/// The bound on configurations of the test settings.
const CONFIGURATION_BOUND: Millis = Millis(2_000);
/// More than a response may take to begin, less than the bound leaves for the transfer.
const TRANSFER: Millis = Millis(1_300);
const PIECES: usize = 20;

/// The VM must serve the route `/new/` within the bound on configurations.
async fn check_change_in_force(vm: &Vm) {
    let mut caller = vm.connect().await;
    let in_force = until(async || caller.request(&get("/new/1", "n")).await.unwrap().status == 200);
    let in_force = tokio::time::timeout(CONFIGURATION_BOUND.duration(), in_force).await;
    assert!(in_force.is_ok(), "the old configuration is in force after the bound");
}

/// Guards against requests that are handled by an older configuration: a poll was cut off after the
/// time that a response may take to begin, and the transfer began anew.
#[tokio::test]
async fn a_change_that_the_store_sends_slowly_is_in_force_within_its_bound() {
    run_test(async |world| {
        let (_upstream, vm) = world.serving().await;
        world.store.slow_transfers("a", TRANSFER);
        world.declare_with(2, |configuration| {
            configuration.routes.push(Arc::new(route("/new/", Effect::Idempotent)));
        });
        check_change_in_force(&vm).await;
    })
    .await;
}

/// Guards against requests that are handled by an older configuration: a transfer that takes longer
/// than the bound was cut off each time.
#[tokio::test]
async fn a_change_that_takes_longer_than_the_bound_is_in_force_after_one_more_transfer() {
    run_test(async |world| {
        let (_upstream, vm) = world.serving().await;
        world.store.slow_transfers("a", CONFIGURATION_BOUND + TRANSFER);
        world.declare_with(2, |configuration| {
            configuration.routes.push(Arc::new(route("/new/", Effect::Idempotent)));
        });
        let mut caller = vm.connect().await;
        until(async || caller.request(&get("/new/1", "n")).await.unwrap().status == 200).await;
    })
    .await;
}

/// Responds to requests for changes with `batch`, in pieces that take [`TRANSFER`] in all.
async fn serve_slowly(probe: &Probe, batch: &Batch) {
    let listener = TcpListener::bind(probe.address()).await.unwrap();
    let body = rmp_serde::to_vec(batch).unwrap();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let body = body.clone();
            tokio::task::spawn_local(async move {
                let mut reader = Reader::new(stream);
                reader.request(4_096).await.unwrap();
                let length = body.len().to_string();
                let mut head = bytes::BytesMut::new();
                let fields = [(b"Content-Length".as_slice(), length.as_bytes())];
                encode::response(&mut head, 200, fields.into_iter());
                reader.stream_mut().write_all(&head).await.unwrap();
                for piece in body.chunks(body.len().div_ceil(PIECES)) {
                    tokio::time::sleep(Millis(TRANSFER.0 / PIECES as u64).duration()).await;
                    // The VM may have closed the connection.
                    if reader.stream_mut().write_all(piece).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn change(world: &World) -> Batch {
    let mut configuration = configuration(2);
    configuration.routes.push(Arc::new(route("/new/", Effect::Idempotent)));
    let revision = world.store.revision() + 1;
    let content = Content::Configuration(Arc::new(configuration));
    let changes = vec![Change { key: "config".into(), revision, content }];
    Batch { feed: Feed::Operators, full: false, revision, changes }
}

/// Guards against requests that are handled by an older configuration: a VM that can't reach the
/// store cut a peer's transfer off after 800 ms, and began anew.
#[tokio::test]
async fn a_change_that_a_peer_sends_slowly_is_in_force_within_its_bound() {
    run_test(async |world| {
        let (_upstream, vm) = world.serving().await;
        world.store.cut_off("a");
        let mut probe = Probe::open(&world, "probe").await;
        let batch = change(&world);
        serve_slowly(&probe, &batch).await;
        probe.claim_up_to_date(vm.heartbeats(), batch.revision).await;
        check_change_in_force(&vm).await;
    })
    .await;
}
