//! Requests on links to upstreams that are cut for some seconds and heal.

mod world;

use clock::Millis;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use steering::routing::{Readiness, Upstream};
use world::caller::{get, post};
use world::link::Link;
use world::upstream::{Behaviour, Standin};
use world::{Vm, World, run_test};

/// Longer than the kernel takes to give up a connection whose remote host is silent.
const CUT: Millis = Millis(4_500);
const BUDGET: &str = "9000";

/// A gateway, an upstream, and the link between them.
async fn linked(world: &World) -> (Vm, Rc<Standin>, Rc<Link>) {
    let upstream = Standin::open("u1", SocketAddr::new(world.host(), 8_080)).await;
    let link = Link::open(SocketAddr::new(world.host(), 8_080), upstream.address).await;
    let entry = world::entry("u1", link.address, Readiness::Ready);
    world.store.put_upstream(Upstream { slots: 8, ..entry });
    world.declare_with(1, |configuration| {
        for route in &mut configuration.routes {
            Arc::make_mut(route).timeout = None;
        }
    });
    let vm = world.gateway("a").await;
    vm.await_ready().await;
    (vm, upstream, link)
}

// Guards against requests that reach their upstream seconds after they were given up. The kernel's
// keepalive gave up the connection, and as its socket was dead then, closing it didn't reset what the
// link held.
#[tokio::test]
async fn requests_that_a_cut_link_holds_are_not_given_up_by_the_kernel() {
    run_test(async |world| {
        let (vm, upstream, link) = linked(&world).await;
        let mut caller = vm.connect().await;
        assert_eq!(caller.request(&get("/read/kept", "k")).await.unwrap().status, 200);
        link.hold();
        let (mut first, mut second) = (vm.connect().await, vm.connect().await);
        // One goes out on the kept connection, the other one on a new one.
        first.send(&post("/order/1", "o", "pump").replace("1500", BUDGET)).await;
        second.send(&get("/read/1", "r").replace("1500", BUDGET)).await;
        link.await_bytes(2).await;
        link.cut();
        tokio::time::sleep(CUT.duration()).await;
        link.heal();
        assert_eq!(first.response().await.unwrap().status, 200);
        assert_eq!(second.response().await.unwrap().status, 200);
        let mut paths = upstream.paths();
        paths.sort();
        assert_eq!(paths, ["/order/1", "/read/1", "/read/kept"]);
    })
    .await;
}

// Guards against requests that wait for the user timeout one after the other, each on another
// connection that was idle when its upstream's host fell silent.
#[tokio::test]
async fn idle_connections_to_a_silent_host_are_not_used_again() {
    run_test(async |world| {
        let (vm, upstream, link) = linked(&world).await;
        upstream.script([Behaviour::Slow(Millis(100))]);
        let (mut first, mut second) = (vm.connect().await, vm.connect().await);
        first.send(&get("/read/1", "a")).await;
        second.send(&get("/read/2", "b")).await;
        assert_eq!(first.response().await.unwrap().status, 200);
        assert_eq!(second.response().await.unwrap().status, 200);
        assert_eq!(link.connections(), 2);
        link.cut();
        let lost = get("/read/3", "c").replace("1500", BUDGET);
        assert_eq!(first.request(&lost).await.unwrap().status, 502);
        assert_eq!(second.request(&get("/read/4", "d")).await.unwrap().status, 200);
        assert_eq!(link.connections(), 3);
        link.heal();
        assert_eq!(second.request(&get("/read/5", "e")).await.unwrap().status, 200);
        // What the kernel had not sent until it gave up is never sent.
        assert_eq!(upstream.paths(), ["/read/1", "/read/2", "/read/4", "/read/5"]);
    })
    .await;
}
