//! What upstreams state about themselves in their responses: that they leave, and that they want no
//! requests for a time.

mod world;

use clock::Millis;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use steering::catalogue::Feed;
use steering::routing::{Readiness, Upstream};
use world::caller::{Reply, get, post};
use world::upstream::{Behaviour, Standin};
use world::{Vm, World, entry, run_test, until};

const LEAVING: &str = "test-leaving: yes\r\n";
const NOT_RUN: &str = "test-not-run: 1\r\n";
/// A pause, and a part of it in which requests come.
const PAUSE: Millis = Millis(1_200);
const PAUSED: &str = "test-not-run: 1\r\ntest-retry-after: 1200ms\r\n";
const MOST_OF_PAUSE: Millis = Millis(1_000);

async fn send(vm: &Vm, text: &str) -> Reply {
    vm.connect().await.request(text).await.unwrap()
}

/// Starts two upstreams and a gateway; the first one is preferred for the test object.
async fn two_upstreams(world: &World) -> (Rc<Standin>, Rc<Standin>, Vm) {
    let (a, b) = (world.upstream("u1").await, world.upstream("u2").await);
    world.declare(1);
    let vm = world.gateway("a").await;
    vm.await_ready().await;
    let first = send(&vm, &get("/read/home", "h")).await.text();
    if first.starts_with("u1") { (a, b, vm) } else { (b, a, vm) }
}

/// Sends reads and orders for `span`; all of them must be served by `other`.
async fn check_avoided(vm: &Vm, upstream: &Standin, other: &Standin, span: Millis) {
    let before = upstream.executed().len();
    let started = Instant::now();
    while started.elapsed() < span.duration() {
        for text in [get("/read/1", "r"), post("/order/1", "o", "x")] {
            let reply = send(vm, &text).await;
            assert_eq!(reply.status, 200);
            assert!(reply.text().starts_with(&other.id));
        }
        tokio::time::sleep(Millis(20).duration()).await;
    }
    assert_eq!(upstream.executed().len(), before);
}

/// Guards against requests to upstreams that leave: one says so in its responses while the store,
/// which would tell it too, can't be reached.
#[tokio::test]
async fn an_upstream_that_says_that_it_leaves_gets_no_more_requests() {
    for status in [200, 500, 503] {
        run_test(async |world| {
            let (leaving, other, vm) = two_upstreams(&world).await;
            world.store.cut_off("a");
            leaving.script([Behaviour::RespondWith(status, LEAVING), Behaviour::Respond]);
            assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 200);
            check_avoided(&vm, &leaving, &other, Millis(300)).await;
            let reply = send(&vm, &get("/read/1", "r")).await;
            assert!(reply.head.headers.get("test-leaving").is_none());
        })
        .await;
    }
}

/// Guards against callers that wait for upstreams which all leave, and against statements that the
/// caller doesn't get.
#[tokio::test]
async fn if_all_upstreams_leave_callers_are_refused_at_once() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Behaviour::RespondWith(200, LEAVING), Behaviour::Respond]);
        let reply = send(&vm, &get("/read/1", "r")).await;
        assert_eq!((reply.status, reply.head.headers.text("test-leaving")), (200, Some("yes")));
        let before = upstream.executed().len();
        let reply = send(&vm, &get("/read/1", "s")).await;
        assert_eq!(reply.status, 503);
        assert!(reply.head.headers.get("retry-after").is_some());
        assert_eq!(upstream.executed().len(), before);
    })
    .await;
}

/// Guards against statements that outlive or don't reach their incarnation: an entry may lapse and
/// be renewed, a failure domain may be evacuated and taken back, and an upstream may start again
/// under its id.
#[tokio::test]
async fn a_statement_holds_for_the_incarnation_that_made_it() {
    for fields in [LEAVING, "test-not-run: 1\r\ntest-retry-after: 60000ms\r\n"] {
        run_test(async |world| {
            let (upstream, other, vm) = two_upstreams(&world).await;
            let id = upstream.id.clone();
            let status = if fields == LEAVING { 200 } else { 503 };
            upstream.script([Behaviour::RespondWith(status, fields), Behaviour::Respond]);
            assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 200);
            let in_force = async |version| {
                world.declare_with(version, |configuration| {
                    let prefix = format!("/v{version}/");
                    let route = world::route(&prefix, steering::routing::Effect::Idempotent);
                    configuration.routes.push(route.into());
                });
                let text = get(&format!("/v{version}/1"), "n");
                until(async || send(&vm, &text).await.status != 404).await;
            };
            // The entry vanishes and comes back.
            world.store.remove(Feed::Upstreams, &id);
            world.store.remove(Feed::Upstreams, &other.id);
            until(async || send(&vm, &get("/read/1", "r")).await.status == 503).await;
            world.store.put_upstream(entry(&other.id, other.address, Readiness::Ready));
            world.store.put_upstream(entry(&id, upstream.address, Readiness::Ready));
            until(async || send(&vm, &get("/read/1", "r")).await.status == 200).await;
            tokio::time::sleep(Millis(400).duration()).await;
            check_avoided(&vm, &upstream, &other, Millis(100)).await;
            // Its failure domain is evacuated and taken back.
            world.store.evacuate("d1");
            in_force(2).await;
            until(async || send(&vm, &get("/read/1", "r")).await.status == 503).await;
            world.store.remove(Feed::Operators, "evacuate/d1");
            in_force(3).await;
            // Upstreams are cold after that.
            tokio::time::sleep(Millis(600).duration()).await;
            check_avoided(&vm, &upstream, &other, Millis(100)).await;
            // It starts again under its id.
            let entry = entry(&id, upstream.address, Readiness::Ready);
            world.store.put_upstream(Upstream { incarnation: 2, ..entry });
            until(async || send(&vm, &get("/read/1", "r")).await.text().starts_with(&id)).await;
        })
        .await;
    }
}

/// Guards against statements of another upstream: a response with status 421 comes from whoever has
/// the address now.
#[tokio::test]
async fn a_statement_with_status_421_is_not_that_of_the_upstream() {
    run_test(async |world| {
        let (moved, vm) = world.serving().await;
        moved.script([Behaviour::RespondWith(421, LEAVING)]);
        assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 503);
        let address = SocketAddr::new(world.host(), moved.address.port());
        let here = Standin::open(&moved.id, address).await;
        world.store.put_upstream(entry(&moved.id, here.address, Readiness::Ready));
        until(async || send(&vm, &get("/read/1", "r")).await.status == 200).await;
        assert_eq!(here.executed().len(), 1);
    })
    .await;
}

/// Guards against statements that stay with an address: another upstream gets that of one that has
/// left.
#[tokio::test]
async fn another_upstream_at_the_address_of_a_leaving_one_gets_requests() {
    run_test(async |world| {
        let (left, vm) = world.serving().await;
        left.script([Behaviour::RespondWith(200, LEAVING), Behaviour::Respond]);
        assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 200);
        assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 503);
        world.store.remove(Feed::Upstreams, &left.id);
        world.store.put_upstream(entry("u2", left.address, Readiness::Ready));
        until(async || send(&vm, &get("/read/1", "r")).await.status == 200).await;
    })
    .await;
}

/// Guards against requests to an upstream that requested a pause, whether or not it states that it
/// did not execute the request with which it came.
#[tokio::test]
async fn an_upstream_that_asks_for_a_pause_gets_no_requests_until_its_end() {
    for fields in [PAUSED, "test-retry-after: 1200ms\r\n"] {
        run_test(async |world| {
            let (paused, other, vm) = two_upstreams(&world).await;
            world.store.cut_off("a");
            paused.script([Behaviour::RespondWith(503, fields), Behaviour::Respond]);
            assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 200);
            check_avoided(&vm, &paused, &other, MOST_OF_PAUSE).await;
            tokio::time::sleep((PAUSE - MOST_OF_PAUSE).duration()).await;
            until(async || send(&vm, &get("/read/1", "r")).await.text().starts_with(&paused.id))
                .await;
        })
        .await;
    }
}

/// Guards against pauses that nobody requested: with other statuses the header is for callers, and
/// a malformed one says nothing.
#[tokio::test]
async fn a_pause_is_taken_only_from_a_well_formed_503() {
    let responses: [(u16, &'static str); 5] = [
        (200, "test-retry-after: 60000ms\r\n"),
        (404, "test-retry-after: 60000ms\r\n"),
        (503, "test-not-run: 1\r\ntest-retry-after: -5ms\r\n"),
        (503, "test-not-run: 1\r\ntest-retry-after: soon\r\n"),
        (503, "test-not-run: 1\r\ntest-retry-after: 0ms\r\n"),
    ];
    for (status, fields) in responses {
        run_test(async |world| {
            let (upstream, _other, vm) = two_upstreams(&world).await;
            upstream.script([Behaviour::RespondWith(status, fields), Behaviour::Respond]);
            send(&vm, &get("/read/1", "r")).await;
            let reply = send(&vm, &get("/read/2", "s")).await;
            assert!(reply.text().starts_with(&upstream.id), "{status} {fields:?}");
        })
        .await;
    }
}

/// Guards against callers that wait or come back too early: if all upstreams want a pause, callers
/// are refused at once, and told when the first of the pauses ends.
#[tokio::test]
async fn if_all_upstreams_pause_callers_are_told_at_once_when_to_come_back() {
    run_test(async |world| {
        let (first, second, vm) = two_upstreams(&world).await;
        first.script([Behaviour::RespondWith(
            503,
            "test-not-run: 1\r\ntest-retry-after: 99999999999999ms\r\n",
        )]);
        second.script([
            Behaviour::RespondWith(503, "test-not-run: 1\r\ntest-retry-after: 2500ms\r\n"),
            Behaviour::Respond,
        ]);
        let refused = Instant::now();
        for text in [post("/order/1", "o", "x"), get("/read/1", "r"), get("/read/2", "s")] {
            let reply = send(&vm, &text).await;
            let after: f64 = reply.head.headers.text("retry-after").unwrap().parse().unwrap();
            assert_eq!(reply.status, 503);
            assert!((1.5..=2.5).contains(&after), "{after}");
        }
        assert!(refused.elapsed() < Millis(800).duration());
        assert_eq!((first.executed().len(), second.executed().len()), (2, 1));
        tokio::time::sleep(Millis(2_500).duration() - refused.elapsed()).await;
        until(async || send(&vm, &get("/read/3", "t")).await.status == 200).await;
        assert_eq!(first.executed().len(), 2);
    })
    .await;
}

/// Guards against a pause that delays what another upstream can execute.
#[tokio::test]
async fn an_order_that_is_refused_with_a_pause_is_sent_to_another_upstream() {
    run_test(async |world| {
        let (paused, other, vm) = two_upstreams(&world).await;
        let statement =
            Box::leak(format!("{NOT_RUN}test-retry-after: 3000ms\r\n").into_boxed_str());
        paused.script([Behaviour::RespondWith(503, statement)]);
        let reply = send(&vm, &post("/order/1", "o", "x")).await;
        assert_eq!((reply.status, reply.text()), (200, format!("{} /order/1", other.id)));
    })
    .await;
}
