//! Requests whose callers leave before they are sent to an upstream.

mod world;

use clock::Millis;
use std::rc::Rc;
use world::caller::{get, post};
use world::upstream::Standin;
use world::{Vm, World, run_test, until};

/// A gateway with a restricted route: its first request to an upstream waits for a health check.
async fn with_checks(world: &World) -> (Vm, Rc<Standin>) {
    let upstream = world.upstream("u1").await;
    world.declare_with(1, |configuration| {
        for route in &mut configuration.routes {
            std::sync::Arc::make_mut(route).regions = vec!["r1".into()];
        }
    });
    let vm = world.gateway("a").await;
    vm.await_ready().await;
    (vm, upstream)
}

// Guards against orders that are carried out although nobody waits for them: they were sent on
// after their callers had left, when it took long to open a connection.
#[tokio::test]
async fn an_order_whose_caller_left_before_it_was_sent_is_not_sent() {
    run_test(async |world| {
        let (vm, upstream) = with_checks(&world).await;
        upstream.delay_health(Millis(300));
        let mut caller = vm.connect().await;
        caller.send(&post("/order/1", "o", "pump")).await;
        until(async || upstream.checks() == 1).await;
        drop(caller);
        // Its connection is kept for the next request.
        tokio::time::sleep(Millis(400).duration()).await;
        upstream.delay_health(Millis::ZERO);
        let mut next = vm.connect().await;
        assert_eq!(next.request(&post("/order/2", "p", "pump")).await.unwrap().status, 200);
        assert_eq!((upstream.paths(), upstream.connections()), (vec!["/order/2".to_owned()], 1));
    })
    .await;
}

// Guards against a gateway that has too little processor time: at one look it finds both that a
// request can be sent and that its caller has left.
#[tokio::test]
async fn a_caller_that_left_while_the_gateway_did_not_run_gets_nothing_sent() {
    for text in [get("/read/1", "r"), post("/order/1", "o", "pump")] {
        run_test(async |world| {
            let (vm, upstream) = with_checks(&world).await;
            upstream.delay_health(Millis(100));
            let mut caller = vm.connect().await;
            caller.send(&text).await;
            upstream.after_check(move || drop(caller));
            until(async || upstream.checks() == 1).await;
            tokio::time::sleep(Millis(300).duration()).await;
            assert_eq!(upstream.received(), Vec::<String>::new());
        })
        .await;
    }
}
