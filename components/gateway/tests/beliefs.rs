//! What a VM learns from the store and from neighbours, and how it stops.

mod world;

use clock::Millis;
use std::sync::Arc;
use steering::catalogue::Feed;
use steering::routing::{Effect, Readiness};
use world::caller::get;
use world::upstream::Act;
use world::{entry, play, route, until};

#[tokio::test]
async fn without_a_configuration_a_vm_answers_503_and_is_not_ready() {
    play(async |world| {
        world.upstream("u1").await;
        let vm = world.gateway("a").await;
        let mut caller = vm.connect().await;
        assert_eq!(caller.ask(&get("/read/1", "r")).await.unwrap().status, 503);
        assert!(!vm.is_ready().await);
        world.declare(1);
        vm.await_ready().await;
        assert_eq!(caller.ask(&get("/read/1", "s")).await.unwrap().status, 200);
    })
    .await;
}

#[tokio::test]
async fn a_new_configuration_comes_into_force_also_after_the_store_forgot_its_history() {
    play(async |world| {
        let (_upstream, vm) = world.serving().await;
        let mut caller = vm.connect().await;
        assert_eq!(caller.ask(&get("/new/1", "n")).await.unwrap().status, 404);
        world.store.forget();
        world.declare_with(2, |configuration| {
            configuration.routes.push(Arc::new(route("/new/", Effect::Idempotent)));
        });
        until(async || caller.ask(&get("/new/1", "n")).await.unwrap().status == 200).await;
    })
    .await;
}

#[tokio::test]
async fn a_leaving_upstream_and_an_evacuated_domain_get_nothing_more() {
    play(async |world| {
        let (upstream, vm) = world.serving().await;
        let mut caller = vm.connect().await;
        world.store.evacuate("d1");
        until(async || caller.ask(&get("/read/1", "r")).await.unwrap().status == 503).await;
        world.store.remove(Feed::Operators, "evacuate/d1");
        until(async || caller.ask(&get("/read/1", "r")).await.unwrap().status == 200).await;
        world.store.put_upstream(entry("u1", upstream.address, Readiness::Leaving));
        until(async || caller.ask(&get("/read/1", "r")).await.unwrap().status == 503).await;
        let before = upstream.seen().len();
        assert_eq!(caller.ask(&get("/read/1", "r")).await.unwrap().status, 503);
        assert_eq!(upstream.seen().len(), before);
    })
    .await;
}

#[tokio::test]
async fn a_vm_that_the_store_turns_away_learns_everything_from_a_neighbour() {
    play(async |world| {
        let upstream = world.upstream("u1").await;
        world.declare(1);
        world.store.refuse("b");
        let a = world.gateway("a").await;
        let seed = a.heartbeats();
        let b = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        b.await_ready().await;
        let mut caller = b.connect().await;
        assert_eq!(caller.ask(&get("/read/1", "r")).await.unwrap().status, 200);
        world.declare_with(2, |configuration| configuration.routes.clear());
        until(async || caller.ask(&get("/read/1", "r")).await.unwrap().status == 404).await;
        world.store.put_upstream(entry("u1", upstream.address, Readiness::Leaving));
        world.declare(3);
        until(async || caller.ask(&get("/read/1", "r")).await.unwrap().status == 503).await;
        world.store.serve_again("b");
        world.store.put_upstream(entry("u1", upstream.address, Readiness::Ready));
        until(async || caller.ask(&get("/read/1", "r")).await.unwrap().status == 200).await;
    })
    .await;
}

#[tokio::test]
async fn look_ups_name_the_ready_vms_of_the_region() {
    play(async |world| {
        world.upstream("u1").await;
        world.declare(1);
        let a = world.gateway("a").await;
        let seed = a.heartbeats();
        let b = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        let far = world
            .gateway_with("c", |settings| {
                settings.seeds = vec![seed];
                settings.domain = "d2".into();
                settings.region = "r2".into();
            })
            .await;
        let near = [a.callers().to_string(), b.callers().to_string()];
        until(async || {
            a.look_up("r1").await == near
                && b.look_up("r1").await == near
                && a.look_up("r2").await == [far.callers().to_string()]
        })
        .await;
        b.gateway.close().await;
        until(async || a.look_up("r1").await == near[..1]).await;
    })
    .await;
}

#[tokio::test]
async fn a_stopping_vm_finishes_what_it_read_and_answers_what_still_comes() {
    play(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Act::Slow(Millis(300)), Act::Answer]);
        let mut busy = vm.connect().await;
        let mut idle = vm.connect().await;
        assert_eq!(idle.ask(&get("/nowhere/", "i")).await.unwrap().status, 404);
        busy.send(&get("/read/1", "r")).await;
        until(async || upstream.seen().len() == 1).await;
        let address = vm.callers();
        let closing = tokio::task::spawn_local(vm.gateway.close());
        tokio::time::sleep(Millis(50).duration()).await;
        let answer = idle.ask(&get("/read/2", "s")).await.unwrap();
        assert_eq!((answer.status, answer.closes()), (200, true));
        let mut late = world::caller::Caller::connect(address).await;
        assert_eq!(late.ask(&get("/read/3", "t")).await.unwrap().status, 200);
        let answer = busy.answer().await.unwrap();
        assert_eq!((answer.status, answer.closes()), (200, true));
        assert!(busy.answer().await.is_none());
        closing.await.unwrap();
        assert!(tokio::net::TcpStream::connect(address).await.is_err());
    })
    .await;
}

#[tokio::test]
async fn a_stopping_vm_reads_nothing_behind_an_answer_that_ends_the_connection() {
    play(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Act::Slow(Millis(300)), Act::Answer]);
        let mut caller = vm.connect().await;
        caller.send(&get("/read/1", "r")).await;
        until(async || upstream.seen().len() == 1).await;
        let closing = tokio::task::spawn_local(vm.gateway.close());
        tokio::time::sleep(Millis(50).duration()).await;
        caller.send(&get("/read/2", "s")).await;
        assert_eq!(caller.answer().await.unwrap().status, 200);
        assert!(caller.answer().await.is_none());
        closing.await.unwrap();
        assert_eq!(upstream.paths(), ["/read/1"]);
    })
    .await;
}

#[tokio::test]
async fn a_stopping_vm_refuses_what_it_could_not_finish_and_answers_what_it_did_not() {
    play(async |world| {
        let upstream = world.upstream("u1").await;
        world.declare_with(1, |configuration| {
            let routes = configuration.routes.iter().map(|each| {
                Arc::new(steering::routing::Route { timeout: None, ..(**each).clone() })
            });
            configuration.routes = routes.collect();
        });
        let vm = world.gateway_with("a", |settings| settings.bounds.grace = Millis(3_500)).await;
        vm.await_ready().await;
        upstream.script([Act::Hang]);
        let mut stuck = vm.connect().await;
        let text = get("/order/1", "o").replace("1500", "60000");
        stuck.send(&text).await;
        until(async || upstream.seen().len() == 1).await;
        let address = vm.callers();
        let closing = tokio::task::spawn_local(vm.gateway.close());
        tokio::time::sleep(Millis(1_200).duration()).await;
        let mut late = world::caller::Caller::connect(address).await;
        let answer = late.ask(&get("/read/1", "r")).await.unwrap();
        assert_eq!((answer.status, answer.closes()), (503, true));
        assert_eq!(stuck.answer().await.unwrap().status, 504);
        closing.await.unwrap();
        assert_eq!(upstream.paths(), ["/order/1"]);
    })
    .await;
}

/// A long call that began in a silent outage hid for 3 s that the store was back, and with it a
/// configuration that was accepted right after.
#[tokio::test]
async fn calls_are_short_until_the_store_answers_again() {
    play(async |world| {
        let (_upstream, _vm) = world.serving().await;
        world.store.refuse("a");
        let before = world.store.waits().len();
        // Both feeds still have a call under way, and then fail twice.
        until(async || world.store.waits().len() >= before + 6).await;
        let waits = world.store.waits();
        let failing = &waits[before + 2..];
        assert!(failing.iter().all(|wait| *wait <= Millis(200)), "{failing:?}");
        world.store.serve_again("a");
        until(async || world.store.waits().last() == Some(&Millis(2_000))).await;
    })
    .await;
}

/// All connections to the store broke for 0.7 s; an upstream that left meanwhile was taken for one
/// whose entry had lapsed in an outage, and still got requests after the drain bound.
#[tokio::test]
async fn an_upstream_that_left_while_a_connection_was_broken_is_gone_at_once() {
    play(async |world| {
        let (_upstream, vm) = world.serving().await;
        let mut caller = vm.connect().await;
        world.store.refuse("a");
        let before = world.store.waits().len();
        until(async || world.store.waits().len() >= before + 4).await;
        world.store.remove(Feed::Upstreams, "u1");
        world.store.serve_again("a");
        // The next call comes within 0.7 s; a lapsed entry would be used for 1.3 s from then.
        tokio::time::sleep(Millis(1_000).duration()).await;
        assert_eq!(caller.ask(&get("/read/1", "r")).await.unwrap().status, 503);
    })
    .await;
}

#[tokio::test]
async fn an_entry_that_vanished_in_an_outage_is_used_until_the_drain_bound_and_no_longer() {
    play(async |world| {
        let (upstream, vm) = world.serving().await;
        world.store.refuse("a");
        tokio::time::sleep(Millis(4_500).duration()).await;
        world.store.remove(Feed::Upstreams, "u1");
        world.store.serve_again("a");
        let vanished = std::time::Instant::now();
        let mut caller = vm.connect().await;
        while caller.ask(&get("/read/1", "r")).await.unwrap().status == 200 {
            tokio::time::sleep(Millis(5).duration()).await;
        }
        let used = vanished.elapsed().as_millis();
        // It may come back for about a second; the drain bound is 2 s.
        assert!((900..2_000).contains(&used), "{used}");
        assert!(!upstream.seen().is_empty());
    })
    .await;
}

/// A VM that the store turned away for long, as after a cut, took what left soon afterwards for
/// lapsed; its neighbours knew that the store had been there.
#[tokio::test]
async fn neighbours_that_heard_from_the_store_settle_that_there_was_no_outage() {
    play(async |world| {
        let (_upstream, a) = world.serving().await;
        let seed = a.heartbeats();
        let b = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        b.await_ready().await;
        world.store.refuse("b");
        tokio::time::sleep(Millis(4_500).duration()).await;
        world.store.serve_again("b");
        tokio::time::sleep(Millis(1_000).duration()).await;
        world.store.remove(Feed::Upstreams, "u1");
        tokio::time::sleep(Millis(200).duration()).await;
        let mut caller = b.connect().await;
        assert_eq!(caller.ask(&get("/read/1", "r")).await.unwrap().status, 503);
    })
    .await;
}

/// The pattern of a release: upstreams join one after the other, and each one cost every reader a
/// call of its own.
#[tokio::test]
async fn upstreams_that_change_in_a_row_share_calls() {
    play(async |world| {
        let (upstream, _vm) = world.serving().await;
        tokio::time::sleep(Millis(300).duration()).await;
        let before = world.store.calls();
        for number in 0..20 {
            world.store.put_upstream(entry(
                &format!("new{number}"),
                upstream.address,
                Readiness::Ready,
            ));
            tokio::time::sleep(Millis(50).duration()).await;
        }
        let calls = world.store.calls() - before;
        // One every quarter of a second, an eighth of the drain bound.
        assert!(calls <= 6, "{calls}");
    })
    .await;
}
