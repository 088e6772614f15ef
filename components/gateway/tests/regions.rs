//! Requests on routes that are restricted to regions: none may reach an upstream elsewhere.

mod world;

use clock::Millis;
use gateway::Settings;
use std::rc::Rc;
use std::sync::Arc;
use steering::routing::{Effect, Readiness, Route, Target, Upstream};
use world::caller::{Reply, get, post};
use world::upstream::{Behaviour, Standin};
use world::{Vm, World, run_test, until};

/// The time after which another upstream may have an address, in these tests.
const ADDRESS_REUSE: Millis = Millis(300);

async fn send(vm: &Vm, text: &str) -> Reply {
    vm.connect().await.request(text).await.unwrap()
}

/// Starts an upstream in each of the regions `r1` and `r2` and a gateway in `r1`.
async fn two_regions(world: &World) -> (Rc<Standin>, Rc<Standin>, Vm) {
    let (near, far) = (world.upstream_in("u1", "d1").await, world.upstream_in("u2", "d2").await);
    (near, far, gateway(world).await)
}

async fn gateway(world: &World) -> Vm {
    let change = |settings: &mut Settings| {
        settings.bounds.retry_ratio = 10.0;
        settings.bounds.address_reuse = ADDRESS_REUSE;
    };
    world.gateway_with("a", change).await
}

/// Ends an upstream and starts another one at its address, without an entry in the store.
async fn replace(upstream: &Standin) -> Rc<Standin> {
    upstream.crash().await;
    let other = Standin::open("other", upstream.address).await;
    other.script([Behaviour::Misdirected]);
    tokio::time::sleep(ADDRESS_REUSE.duration()).await;
    other
}

/// Declares the default routes, restricted to `regions`, and one of a service without upstreams.
fn declare(world: &World, version: u64, regions: &[&str]) {
    world.declare_with(version, |configuration| {
        for route in &mut configuration.routes {
            let regions = regions.iter().map(|region| (*region).into()).collect();
            *route = Arc::new(Route { regions, ..Route::clone(route) });
        }
        let marker = world::route(&marker(version), Effect::Idempotent);
        let targets = vec![Target { service: "none".into(), weight: 1 }];
        configuration.routes.push(Arc::new(Route { targets, ..marker }));
    });
}

/// Declares the default routes, restricted to `regions`, and waits until that is in force.
async fn put_in_force(world: &World, vm: &Vm, version: u64, regions: &[&str]) {
    declare(world, version, regions);
    until(async || send(vm, &get(&marker(version), "m")).await.status != 404).await;
}

/// The prefix of a route that only this version has.
fn marker(version: u64) -> String {
    format!("/v{version}/")
}

/// Guards against retries by the regions of an older configuration: a request that was read before
/// a change went to regions that the route in force no longer allows.
#[tokio::test]
async fn a_retry_honours_the_regions_in_force() {
    run_test(async |world| {
        let (near, far, vm) = two_regions(&world).await;
        declare(&world, 1, &["r1", "r2"]);
        vm.await_ready().await;
        near.script([Behaviour::Hang]);
        far.script([Behaviour::Hang]);
        let mut caller = vm.connect().await;
        caller.send(&get("/read/1", "r")).await;
        until(async || !near.executed().is_empty() || !far.executed().is_empty()).await;
        let (first, second, region) = match near.executed().is_empty() {
            true => (&far, &near, "r2"),
            false => (&near, &far, "r1"),
        };
        second.script([Behaviour::Respond]);
        put_in_force(&world, &vm, 2, &[region]).await;
        let before = second.received();
        first.crash().await;
        assert_eq!(caller.response().await.unwrap().status, 502);
        assert_eq!(second.received(), before);
    })
    .await;
}

/// Guards against requests that leave their regions by an address: an upstream ended, its address
/// belongs to one of another service and region, and its entry is still in the store.
#[tokio::test]
async fn another_upstream_at_an_address_gets_no_restricted_request() {
    for is_used_before in [false, true] {
        for text in [get("/read/1", "r"), post("/read/1", "r", "body"), post("/order/1", "o", "x")]
        {
            run_test(async |world| {
                let gone = world.upstream("u1").await;
                declare(&world, 1, &["r1"]);
                let vm = gateway(&world).await;
                vm.await_ready().await;
                if is_used_before {
                    assert_eq!(send(&vm, &get("/read/0", "q")).await.status, 200);
                }
                let other = replace(&gone).await;
                let reply = send(&vm, &text).await;
                assert_eq!((reply.status, other.received()), (503, Vec::new()));
                // The next upstream of the service gets the request.
                world.upstream("u2").await;
                let text = text.replace("test-id: ", "test-id: 2");
                until(async || send(&vm, &text).await.status == 200).await;
                assert_eq!((other.received(), other.checks()), (Vec::new(), 1));
            })
            .await;
        }
    }
}

/// Guards against checks where they aren't needed: on routes that allow all regions, on connections
/// that are kept, and shortly after a response of the upstream on another connection.
#[tokio::test]
async fn an_upstream_that_has_just_responded_is_not_checked() {
    run_test(async |world| {
        let upstream = world.upstream("u1").await;
        declare(&world, 1, &[]);
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 200);
        assert_eq!(upstream.checks(), 0);
        put_in_force(&world, &vm, 2, &["r1"]).await;
        upstream.script([Behaviour::Slow(Millis(200)), Behaviour::Slow(Millis(200))]);
        let (mut first, mut second) = (vm.connect().await, vm.connect().await);
        first.send(&get("/read/2", "s")).await;
        second.send(&get("/read/3", "t")).await;
        let statuses =
            [first.response().await, second.response().await].map(|reply| reply.unwrap().status);
        assert_eq!((statuses, upstream.connections(), upstream.checks()), ([200; 2], 2, 0));
    })
    .await;
}

/// Guards against a check for each request: one names the upstream of a new connection, and a kept
/// connection needs none, however long ago that was.
#[tokio::test]
async fn an_upstream_is_checked_once_for_a_connection() {
    run_test(async |world| {
        let upstream = world.upstream("u1").await;
        declare(&world, 1, &["r1"]);
        let vm = gateway(&world).await;
        vm.await_ready().await;
        for request in 0..3 {
            let reply = send(&vm, &post("/order/1", &format!("o{request}"), "x")).await;
            assert_eq!(reply.status, 200);
            tokio::time::sleep(ADDRESS_REUSE.duration()).await;
        }
        assert_eq!((upstream.checks(), upstream.connections()), (1, 1));
    })
    .await;
}

/// Guards against requests to an upstream whose check names nobody, and against callers that wait
/// for it beyond their deadline.
#[tokio::test]
async fn a_restricted_request_goes_to_the_next_upstream_if_a_check_fails() {
    for health in [None, Some(429)] {
        run_test(async |world| {
            let (a, b) = (world.upstream("u1").await, world.upstream("u2").await);
            declare(&world, 1, &["r1"]);
            let vm = gateway(&world).await;
            vm.await_ready().await;
            let first = send(&vm, &get("/read/0", "q")).await.text();
            let (first, second) = if first.starts_with("u1") { (a, b) } else { (b, a) };
            first.crash().await;
            let unnamed = Standin::open(&first.id, first.address).await;
            unnamed.set_health(health);
            tokio::time::sleep(ADDRESS_REUSE.duration()).await;
            let reply = send(&vm, &post("/order/1", "o", "x")).await;
            assert_eq!((reply.status, reply.text()), (200, format!("{} /order/1", second.id)));
            second.crash().await;
            let reply = send(&vm, &post("/order/2", "p", "x")).await;
            assert_eq!((reply.status, unnamed.received()), (503, Vec::new()));
            assert_ne!(unnamed.checks(), 0);
        })
        .await;
    }
}

/// Guards against requests that no upstream gets: one that is failing names itself as well.
#[tokio::test]
async fn a_check_with_another_status_names_the_upstream_too() {
    run_test(async |world| {
        let upstream = world.upstream("u1").await;
        upstream.set_health(Some(503));
        declare(&world, 1, &["r1"]);
        let vm = gateway(&world).await;
        vm.await_ready().await;
        assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 200);
    })
    .await;
}

/// Guards against requests that are sent by what was known when their upstream was chosen: the
/// allowed regions and the upstream's region change while its connection is opened.
#[tokio::test]
async fn a_change_before_a_request_is_sent_keeps_it_in_its_regions() {
    for is_route in [true, false] {
        run_test(async |world| {
            let upstream = world.upstream("u1").await;
            upstream.delay_health(Millis(400));
            declare(&world, 1, &["r1", "r3"]);
            let vm = gateway(&world).await;
            vm.await_ready().await;
            let mut caller = vm.connect().await;
            caller.send(&post("/order/1", "o", "x")).await;
            until(async || upstream.checks() == 1).await;
            if is_route {
                put_in_force(&world, &vm, 2, &["r3"]).await;
            } else {
                let mut settings = world::settings("a", vm.ip);
                settings.regions.insert("d1".into(), "r2".into());
                vm.gateway.reload(settings);
            }
            let reply = caller.response().await.unwrap();
            assert_eq!((reply.status, upstream.received()), (503, Vec::new()));
        })
        .await;
    }
}

/// Guards against a failure domain that is taken for a region: the settings don't list it, and it
/// is called like an allowed region.
#[tokio::test]
async fn an_upstream_in_an_unknown_failure_domain_gets_no_restricted_request() {
    run_test(async |world| {
        let upstream = world.upstream_in("u1", "r2").await;
        declare(&world, 1, &["r2"]);
        let vm = gateway(&world).await;
        vm.await_ready().await;
        assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 503);
        assert_eq!((upstream.received(), upstream.checks()), (Vec::new(), 0));
        // If all regions are allowed, where it runs doesn't matter.
        put_in_force(&world, &vm, 2, &[]).await;
        assert_eq!(send(&vm, &get("/read/2", "s")).await.status, 200);
    })
    .await;
}

/// Guards against requests by where an upstream was, on kept connections too: its entry names
/// another failure domain, with and without another start, or the settings another region.
#[tokio::test]
async fn an_upstream_that_is_elsewhere_now_gets_no_restricted_request() {
    for change in 0..3 {
        run_test(async |world| {
            let upstream = world.upstream_in("u1", "d1").await;
            declare(&world, 1, &["r1"]);
            let vm = gateway(&world).await;
            vm.await_ready().await;
            assert_eq!(send(&vm, &get("/read/1", "r")).await.status, 200);
            let entry = world::entry("u1", upstream.address, Readiness::Ready);
            let moved = Upstream { domain: "d2".into(), ..entry };
            match change {
                0 => world.store.put_upstream(moved),
                1 => world.store.put_upstream(Upstream { incarnation: 2, ..moved }),
                _ => {
                    let mut settings = world::settings("a", vm.ip);
                    settings.regions.insert("d1".into(), "r2".into());
                    vm.gateway.reload(settings);
                }
            }
            until(async || send(&vm, &get("/read/2", "s")).await.status == 503).await;
            let before = upstream.received();
            assert_eq!(send(&vm, &post("/order/1", "o", "x")).await.status, 503);
            assert_eq!(upstream.received(), before);
            put_in_force(&world, &vm, 2, &["r2"]).await;
            assert_eq!(send(&vm, &post("/order/2", "p", "x")).await.status, 200);
        })
        .await;
    }
}

/// Guards against requests that leave their regions by a spelling: the path begins with the prefix
/// of a route that allows all regions, and the upstream may read it as one of a restricted route.
#[tokio::test]
async fn a_path_that_may_be_read_as_a_restricted_one_is_restricted() {
    run_test(async |world| {
        let upstream = world.upstream_in("u1", "d2").await;
        world.declare_with(1, |configuration| {
            let home = world::route("/home/", Effect::Idempotent);
            configuration.routes.push(Arc::new(Route { regions: vec!["r1".into()], ..home }));
        });
        let vm = gateway(&world).await;
        vm.await_ready().await;
        for path in [
            "/read/../home/1",
            "/read/%2e%2E/home/1",
            "/read/..%2Fhome/1",
            "/read/..%2f%68ome/1?q=%2E",
            "/read//../home/1",
            "/read//../../home/1",
            "/read/./x/.././../home/",
        ] {
            let reply = send(&vm, &get(path, "r")).await;
            assert_eq!((reply.status, upstream.received()), (503, Vec::new()), "{path}");
        }
        for (path, id) in [
            ("/read/1", "s1"),
            ("/read/home/1", "s2"),
            ("/read/%41/../b//c%2", "s3"),
            ("/read/?/../home/1", "s4"),
        ] {
            assert_eq!(send(&vm, &get(path, id)).await.status, 200, "{path}");
        }
    })
    .await;
}

/// Guards against requests that leave their regions by another spelling of the host or the target:
/// a request has the route of its host and path, or none.
#[tokio::test]
async fn another_spelling_of_a_request_has_the_same_regions_or_no_route() {
    run_test(async |world| {
        let upstream = world.upstream_in("u1", "d2").await;
        world.declare_with(1, |configuration| {
            let home = world::route("/read/home/", Effect::Idempotent);
            configuration.routes.push(Arc::new(Route { regions: vec!["r1".into()], ..home }));
        });
        let vm = gateway(&world).await;
        vm.await_ready().await;
        let host = format!("Host: {}", world::HOST);
        for (from, to, status) in [
            ("/read/home/1", "/read/home/?q", 503),
            (host.as_str(), "Host: STATUS.example:80", 503),
            (host.as_str(), "Host: status.example.", 404),
            (host.as_str(), "Host: status.example\r\nHost: other.example", 400),
            ("/read/home/1", "http://status.example/read/home/1", 400),
            ("/read/home/1", "*", 400),
        ] {
            let text = get("/read/home/1", "r").replace(from, to);
            let reply = send(&vm, &text).await;
            assert_eq!((reply.status, upstream.received()), (status, Vec::new()), "{to}");
        }
    })
    .await;
}

/// Guards against upstreams that requests without restrictions leave since a check failed: a full
/// upstream refuses checks without naming itself, and a caller in a hurry doesn't wait for one.
#[tokio::test]
async fn a_check_without_a_name_in_time_does_not_eject_the_upstream() {
    for (health, delay, deadline) in [(Some(429), 0, "1500"), (Some(200), 120, "200")] {
        run_test(async |world| {
            let (near, far) =
                (world.upstream_in("u1", "d1").await, world.upstream_in("u2", "d2").await);
            world.declare_with(1, |configuration| {
                for route in &mut configuration.routes {
                    if &*route.prefix == "/order/" {
                        let regions = vec!["r1".into()];
                        *route = Arc::new(Route { regions, ..Route::clone(route) });
                    }
                }
            });
            let vm = gateway(&world).await;
            vm.await_ready().await;
            near.set_health(health);
            near.delay_health(Millis(delay));
            for order in ["o1", "o2", "o3"] {
                let text = post("/order/1", order, "x").replace("1500", deadline);
                assert_eq!(send(&vm, &text).await.status, 503);
            }
            assert_ne!(near.checks(), 0);
            for read in ["r1", "r2", "r3", "r4"] {
                assert_eq!(send(&vm, &get("/read/1", read)).await.status, 200);
            }
            assert_eq!((near.received().len(), far.received()), (4, Vec::new()));
        })
        .await;
    }
}
