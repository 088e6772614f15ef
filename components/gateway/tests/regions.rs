//! Requests on routes that are restricted to regions: none may reach an upstream elsewhere.

mod world;

use std::rc::Rc;
use std::sync::Arc;
use steering::routing::{Effect, Route, Target};
use world::caller::{Reply, get};
use world::upstream::{Behaviour, Standin};
use world::{Vm, World, run_test, until};

async fn send(vm: &Vm, text: &str) -> Reply {
    vm.connect().await.request(text).await.unwrap()
}

/// Starts an upstream in each of the regions `r1` and `r2` and a gateway in `r1`.
async fn two_regions(world: &World) -> (Rc<Standin>, Rc<Standin>, Vm) {
    let (near, far) = (world.upstream_in("u1", "d1").await, world.upstream_in("u2", "d2").await);
    let vm = world.gateway_with("a", |settings| settings.bounds.retry_ratio = 10.0).await;
    (near, far, vm)
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

/// Guards against retries by the homes of an older configuration: a request that was read before a
/// change went to regions that the route in force no longer allows.
#[tokio::test]
async fn a_retry_honours_the_homes_in_force() {
    run_test(async |world| {
        let (near, far, vm) = two_regions(&world).await;
        declare(&world, 1, &["r1", "r2"]);
        vm.await_ready().await;
        near.script([Behaviour::Hang]);
        far.script([Behaviour::Hang]);
        let mut caller = vm.connect().await;
        caller.send(&get("/read/1", "r")).await;
        until(async || !near.executed().is_empty() || !far.executed().is_empty()).await;
        let (first, second, home) = match near.executed().is_empty() {
            true => (&far, &near, "r2"),
            false => (&near, &far, "r1"),
        };
        second.script([Behaviour::Respond]);
        put_in_force(&world, &vm, 2, &[home]).await;
        let before = second.received();
        first.crash().await;
        assert_eq!(caller.response().await.unwrap().status, 502);
        assert_eq!(second.received(), before);
    })
    .await;
}
