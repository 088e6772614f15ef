//! State that an entry VM gets from the store and from peers, and its shutdown.

mod world;

use clock::{Clock, Millis};
use gateway::Gateway;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use steering::catalogue::Feed;
use steering::routing::{Effect, Readiness};
use world::caller::{get, post};
use world::store::Store;
use world::upstream::Behaviour;
use world::{entry, route, run_test, settings, until};

#[tokio::test]
async fn without_a_configuration_a_vm_answers_503_and_is_not_ready() {
    run_test(async |world| {
        world.upstream("u1").await;
        let vm = world.gateway("a").await;
        let mut caller = vm.connect().await;
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 503);
        assert!(!vm.is_ready().await);
        world.declare(1);
        vm.await_ready().await;
        assert_eq!(caller.request(&get("/read/1", "s")).await.unwrap().status, 200);
    })
    .await;
}

/// Guards against a first version that never comes into force: the state without a configuration
/// counted as version 0.
#[tokio::test]
async fn a_first_configuration_with_version_0_is_in_force() {
    run_test(async |world| {
        world.upstream("u1").await;
        world.declare(0);
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        let mut caller = vm.connect().await;
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 200);
    })
    .await;
}

#[tokio::test]
async fn a_new_configuration_is_applied_after_the_store_dropped_its_history() {
    run_test(async |world| {
        let (_upstream, vm) = world.serving().await;
        let mut caller = vm.connect().await;
        assert_eq!(caller.request(&get("/new/1", "n")).await.unwrap().status, 404);
        world.store.drop_history();
        world.declare_with(2, |configuration| {
            configuration.routes.push(Arc::new(route("/new/", Effect::Idempotent)));
        });
        until(async || caller.request(&get("/new/1", "n")).await.unwrap().status == 200).await;
    })
    .await;
}

#[tokio::test]
async fn leaving_upstreams_and_evacuated_domains_get_no_requests() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        let mut caller = vm.connect().await;
        world.store.evacuate("d1");
        until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 503).await;
        world.store.remove(Feed::Operators, "evacuate/d1");
        until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 200).await;
        world.store.put_upstream(entry("u1", upstream.address, Readiness::Leaving));
        until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 503).await;
        let before = upstream.executed().len();
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 503);
        assert_eq!(upstream.executed().len(), before);
    })
    .await;
}

#[tokio::test]
async fn a_vm_rejected_by_the_store_gets_all_state_from_a_peer() {
    run_test(async |world| {
        let upstream = world.upstream("u1").await;
        world.declare(1);
        world.store.reject("b");
        let a = world.gateway("a").await;
        let seed = a.heartbeats();
        let b = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        b.await_ready().await;
        let mut caller = b.connect().await;
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 200);
        world.declare_with(2, |configuration| configuration.routes.clear());
        until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 404).await;
        world.store.put_upstream(entry("u1", upstream.address, Readiness::Leaving));
        world.declare(3);
        until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 503).await;
        world.store.accept("b");
        world.store.put_upstream(entry("u1", upstream.address, Readiness::Ready));
        until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 200).await;
    })
    .await;
}

/// Guards against requests to upstreams that have left: a VM that learnt changes from a peer which
/// had started after a removal never heard of that removal.
#[tokio::test]
async fn a_removal_before_the_start_of_a_peer_ends_the_requests_to_the_upstream() {
    run_test(async |world| {
        let left = world.upstream("u1").await;
        world.declare(1);
        let a = world.gateway("a").await;
        a.await_ready().await;
        world.store.reject("a");
        world.store.remove(Feed::Upstreams, "u1");
        world.store.put_upstream(entry("u2", left.address, Readiness::Leaving));
        let seed = a.heartbeats();
        let _started = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        let mut caller = a.connect().await;
        until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 503).await;
        let before = left.executed().len();
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 503);
        assert_eq!(left.executed().len(), before);
    })
    .await;
}

/// Guards against requests to upstreams that have left: a VM that the store rejects never heard of
/// a removal which its peer had found by listing all rows, as the store had dropped its history.
#[tokio::test]
async fn a_removal_that_a_peer_found_by_listing_ends_the_requests_to_the_upstream() {
    run_test(async |world| {
        let (_upstream, a) = world.serving().await;
        let seed = a.heartbeats();
        let b = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        b.await_ready().await;
        world.store.cut_off("b");
        world.store.remove(Feed::Upstreams, "u1");
        world.store.drop_history();
        let mut caller = b.connect().await;
        until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 503).await;
    })
    .await;
}

#[tokio::test]
async fn look_ups_return_the_ready_vms_of_the_region() {
    run_test(async |world| {
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

/// Runs a gateway on a thread of its own for a short time, with a clock that is an hour ahead and
/// without access to the store, and ends it as a kill does.
fn run_ahead(vm: &'static str, ip: IpAddr, seed: SocketAddr) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let life = async {
        let store = Rc::new(Store::default());
        store.reject(vm);
        let settings = gateway::Settings { seeds: vec![seed], ..settings(vm, ip) };
        let clock = Clock::at(Clock::system().now() + Millis::from_secs(3_600));
        let sources = move || store.connect(&vm.into());
        let protocol = Box::new(world::protocol::TestProtocol);
        let _gateway = Gateway::open(settings, protocol, sources, clock).await.unwrap();
        tokio::time::sleep(Millis(1_200).duration()).await;
    };
    tokio::task::LocalSet::new().block_on(&runtime, life);
}

/// Guards against restarted VMs that peers ignore: its clock was ahead when the VM started before,
/// and peers took the new process for older than the one that they knew.
#[tokio::test]
async fn a_vm_that_restarts_after_its_clock_went_back_is_known_again() {
    run_test(async |world| {
        let (_upstream, a) = world.serving().await;
        let (ip, seed) = (world.host(), a.heartbeats());
        tokio::task::spawn_blocking(move || run_ahead("b", ip, seed)).await.unwrap();
        let b = world.gateway_at("b", ip, |settings| settings.seeds = vec![seed]).await;
        b.await_ready().await;
        // By then, the process of before is dead for its peers.
        tokio::time::sleep(Millis(3_500).duration()).await;
        let both = [a.callers().to_string(), b.callers().to_string()];
        assert_eq!(a.look_up("r1").await, both);
    })
    .await;
}

#[tokio::test]
async fn a_stopping_vm_finishes_what_it_read_and_answers_what_still_comes() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Behaviour::Slow(Millis(300)), Behaviour::Respond]);
        let mut busy = vm.connect().await;
        let mut idle = vm.connect().await;
        assert_eq!(idle.request(&get("/nowhere/", "i")).await.unwrap().status, 404);
        busy.send(&get("/read/1", "r")).await;
        until(async || upstream.executed().len() == 1).await;
        let address = vm.callers();
        let closing = tokio::task::spawn_local(vm.gateway.close());
        tokio::time::sleep(Millis(50).duration()).await;
        let reply = idle.request(&get("/read/2", "s")).await.unwrap();
        assert_eq!((reply.status, reply.closes_connection()), (200, true));
        let mut late = world::caller::Caller::connect(address).await;
        assert_eq!(late.request(&get("/read/3", "t")).await.unwrap().status, 200);
        let reply = busy.response().await.unwrap();
        assert_eq!((reply.status, reply.closes_connection()), (200, true));
        assert!(busy.response().await.is_none());
        closing.await.unwrap();
        assert!(tokio::net::TcpStream::connect(address).await.is_err());
    })
    .await;
}

#[tokio::test]
async fn a_stopping_vm_reads_nothing_behind_an_answer_that_ends_the_connection() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        upstream.script([Behaviour::Slow(Millis(300)), Behaviour::Respond]);
        let mut caller = vm.connect().await;
        caller.send(&get("/read/1", "r")).await;
        until(async || upstream.executed().len() == 1).await;
        let closing = tokio::task::spawn_local(vm.gateway.close());
        tokio::time::sleep(Millis(50).duration()).await;
        caller.send(&get("/read/2", "s")).await;
        assert_eq!(caller.response().await.unwrap().status, 200);
        assert!(caller.response().await.is_none());
        closing.await.unwrap();
        assert_eq!(upstream.paths(), ["/read/1"]);
    })
    .await;
}

#[tokio::test]
async fn a_stopping_vm_refuses_what_it_could_not_finish_and_answers_what_it_did_not() {
    run_test(async |world| {
        let upstream = world.upstream("u1").await;
        world.declare_with(1, |configuration| {
            let routes = configuration.routes.iter().map(|each| {
                Arc::new(steering::routing::Route { timeout: None, ..(**each).clone() })
            });
            configuration.routes = routes.collect();
        });
        let vm = world.gateway_with("a", |settings| settings.bounds.grace = Millis(3_500)).await;
        vm.await_ready().await;
        upstream.script([Behaviour::Hang]);
        let mut stuck = vm.connect().await;
        let text = get("/order/1", "o").replace("1500", "60000");
        stuck.send(&text).await;
        until(async || upstream.executed().len() == 1).await;
        let address = vm.callers();
        let closing = tokio::task::spawn_local(vm.gateway.close());
        tokio::time::sleep(Millis(1_200).duration()).await;
        let mut late = world::caller::Caller::connect(address).await;
        let reply = late.request(&get("/read/1", "r")).await.unwrap();
        assert_eq!((reply.status, reply.closes_connection()), (503, true));
        assert_eq!(stuck.response().await.unwrap().status, 504);
        closing.await.unwrap();
        assert_eq!(upstream.paths(), ["/order/1"]);
    })
    .await;
}

/// Guards against requests that are cut in a planned stop: orders whose deadline lay beyond the end
/// of the process were sent to an upstream and answered 504 while it was at work on them.
#[tokio::test]
async fn a_stopping_vm_sends_no_request_that_may_go_on_after_its_end() {
    run_test(async |world| {
        let upstream = world.upstream("u1").await;
        world.declare_with(1, |configuration| {
            let routes = configuration.routes.iter().map(|each| {
                let timeout = Some(Millis(10_000));
                Arc::new(steering::routing::Route { timeout, ..(**each).clone() })
            });
            configuration.routes = routes.collect();
        });
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        let mut kept = vm.connect().await;
        assert_eq!(kept.request(&get("/read/1", "r")).await.unwrap().status, 200);
        let mut in_time = vm.connect().await;
        assert_eq!(in_time.request(&get("/read/1", "s")).await.unwrap().status, 200);
        upstream.script([Behaviour::Hang]);
        let address = vm.callers();
        let closing = tokio::task::spawn_local(vm.gateway.close());
        tokio::time::sleep(Millis(1_500).duration()).await;
        let before = upstream.executed().len();
        let mut new = world::caller::Caller::connect(address).await;
        for (caller, path) in [(&mut kept, "/order/2"), (&mut new, "/read/2")] {
            // 5.6 s of the grace period of 6 s are for requests.
            let text = post(path, path, "x").replace("1500", "4200");
            let reply = caller.request(&text).await.unwrap();
            assert_eq!((reply.status, reply.closes_connection()), (503, true));
            assert!(reply.head.headers.get("retry-after").is_some());
        }
        assert_eq!(upstream.executed().len(), before);
        upstream.script([Behaviour::Slow(Millis(1_000))]);
        let text = post("/order/3", "t", "x").replace("1500", "3000");
        assert_eq!(in_time.request(&text).await.unwrap().status, 200);
        closing.await.unwrap();
    })
    .await;
}

/// Guards against slots of an older entry: an upstream that registered with fewer slots, without
/// starting again, still got as many requests as before.
#[tokio::test]
async fn the_slots_of_a_changed_entry_limit_requests() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        let entry = entry("u1", upstream.address, Readiness::Ready);
        world.store.put_upstream(steering::routing::Upstream { slots: 1, ..entry });
        // Changes of upstreams share polls for a quarter of a second.
        tokio::time::sleep(Millis(500).duration()).await;
        upstream.script([Behaviour::Slow(Millis(600))]);
        let mut callers = Vec::new();
        for number in 0..6 {
            let mut caller = vm.connect().await;
            caller.send(&get(&format!("/read/{number}"), "r")).await;
            callers.push(caller);
        }
        // One request is executed, and two may wait for each slot.
        let mut refused = 0;
        for mut caller in callers {
            refused += usize::from(caller.response().await.unwrap().status == 503);
        }
        assert_eq!((refused, upstream.executed().len()), (3, 3));
    })
    .await;
}

/// Guards against regions of older settings: upstreams in a failure domain that reloaded settings
/// assign to a region were still taken for those of no known region.
#[tokio::test]
async fn reloaded_settings_assign_upstreams_to_regions() {
    run_test(async |world| {
        world.upstream_in("u1", "d3").await;
        world.declare_with(1, |configuration| {
            let routes = configuration.routes.iter().map(|each| {
                let regions = vec!["r2".into()];
                Arc::new(steering::routing::Route { regions, ..(**each).clone() })
            });
            configuration.routes = routes.collect();
        });
        let vm = world.gateway("a").await;
        vm.await_ready().await;
        let mut caller = vm.connect().await;
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 503);
        let mut reloaded = settings("a", vm.ip);
        reloaded.regions.insert("d3".into(), "r2".into());
        vm.gateway.reload(reloaded);
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 200);
    })
    .await;
}

/// Guards against long polls during an outage: one that was sent while the store was silent delayed
/// for 3 s that its recovery, and a configuration accepted right after it, were noticed.
#[tokio::test]
async fn polls_are_short_until_the_store_responds_again() {
    run_test(async |world| {
        let (_upstream, _vm) = world.serving().await;
        world.store.reject("a");
        let before = world.store.waits().len();
        // Each feed still has a poll in flight; the next one fails, and two more follow.
        let waits = |feed| {
            let all = world.store.waits().into_iter().skip(before);
            all.filter(move |(each, _)| *each == feed).map(|(_, wait)| wait).collect::<Vec<_>>()
        };
        for feed in Feed::ALL {
            until(async || waits(feed).len() >= 3).await;
            let failing = &waits(feed)[1..];
            assert!(failing.iter().all(|wait| *wait <= Millis(200)), "{failing:?}");
        }
        world.store.accept("a");
        for feed in Feed::ALL {
            until(async || waits(feed).last() >= Some(&Millis(1_000))).await;
        }
    })
    .await;
}

/// Guards against taking broken connections for an outage: after all connections to the store broke
/// for 0.7 s, an upstream that left meanwhile was treated as lapsed, and still got requests after
/// the drain bound.
#[tokio::test]
async fn an_upstream_that_left_during_a_broken_connection_is_removed_at_once() {
    run_test(async |world| {
        let (_upstream, vm) = world.serving().await;
        let mut caller = vm.connect().await;
        world.store.reject("a");
        let before = world.store.waits().len();
        until(async || world.store.waits().len() >= before + 4).await;
        world.store.remove(Feed::Upstreams, "u1");
        world.store.accept("a");
        // The next poll comes within 0.7 s; a lapsed entry would be used for 1.3 s from then.
        tokio::time::sleep(Millis(1_000).duration()).await;
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 503);
    })
    .await;
}

#[tokio::test]
async fn an_entry_that_vanished_in_an_outage_is_used_until_the_drain_bound_and_no_longer() {
    run_test(async |world| {
        let (upstream, vm) = world.serving().await;
        world.store.reject("a");
        tokio::time::sleep(Millis(4_500).duration()).await;
        world.store.remove(Feed::Upstreams, "u1");
        world.store.accept("a");
        let vanished = std::time::Instant::now();
        let mut caller = vm.connect().await;
        while caller.request(&get("/read/1", "r")).await.unwrap().status == 200 {
            tokio::time::sleep(Millis(5).duration()).await;
        }
        let used = vanished.elapsed().as_millis();
        // The entry may be renewed for about a second; the drain bound is 2 s.
        assert!((900..2_000).contains(&used), "{used}");
        assert!(!upstream.executed().is_empty());
    })
    .await;
}

/// Guards against assuming an outage from one VM's view: a VM that the store rejected for a long
/// time, as in a network partition, treated upstreams that left soon afterwards as lapsed, although
/// its peers had reached the store.
#[tokio::test]
async fn no_outage_is_assumed_if_a_peer_reached_the_store() {
    run_test(async |world| {
        let (_upstream, a) = world.serving().await;
        let seed = a.heartbeats();
        let b = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        b.await_ready().await;
        world.store.reject("b");
        tokio::time::sleep(Millis(4_500).duration()).await;
        world.store.accept("b");
        tokio::time::sleep(Millis(1_000).duration()).await;
        world.store.remove(Feed::Upstreams, "u1");
        tokio::time::sleep(Millis(200).duration()).await;
        let mut caller = b.connect().await;
        assert_eq!(caller.request(&get("/read/1", "r")).await.unwrap().status, 503);
    })
    .await;
}

/// Guards against one poll per change: in a release upstreams join one after the other, and each of
/// them cost every reader a poll.
#[tokio::test]
async fn upstream_changes_in_quick_succession_share_polls() {
    run_test(async |world| {
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
        // One poll every 0.25 s, an eighth of the drain bound.
        assert!(calls <= 6, "{calls}");
    })
    .await;
}

/// Guards against refusals by an older configuration: a connection that was idle while a new
/// version came into force judged its next request by the limits of the version before.
#[tokio::test]
async fn a_connection_that_was_idle_during_a_change_applies_the_new_limits() {
    run_test(async |world| {
        let (_upstream, vm) = world.serving().await;
        let mut idle = vm.connect().await;
        assert_eq!(idle.request(&get("/read/1", "r")).await.unwrap().status, 200);
        world.declare_with(2, |configuration| {
            configuration.limits.body_bytes = 3_000_000;
            configuration.limits.head_bytes = 8_192;
            configuration.routes.push(Arc::new(route("/new/", Effect::Idempotent)));
        });
        let mut caller = vm.connect().await;
        until(async || caller.request(&get("/new/1", "n")).await.unwrap().status == 200).await;
        let body = "x".repeat(1_500_000);
        assert_eq!(idle.request(&post("/read/2", "s", &body)).await.unwrap().status, 200);
        let long_head = get(&format!("/read/{}", "y".repeat(4_000)), "t");
        assert_eq!(idle.request(&long_head).await.unwrap().status, 200);
    })
    .await;
}

/// Guards against connections that are closed by an older configuration: a connection that was idle
/// while a new version came into force was closed after the idle timeout of the version before.
#[tokio::test]
async fn a_connection_that_was_idle_during_a_change_applies_the_new_idle_timeout() {
    run_test(async |world| {
        let (_upstream, vm) = world.serving().await;
        let declare = |version, idle_timeout| {
            world.declare_with(version, |configuration| {
                configuration.limits.idle_timeout = idle_timeout;
                let prefix = format!("/v{version}/");
                configuration.routes.push(Arc::new(route(&prefix, Effect::Idempotent)));
            });
        };
        let in_force = async |version: u64| {
            let text = get(&format!("/v{version}/1"), "n");
            until(async || vm.connect().await.request(&text).await.unwrap().status == 200).await;
        };
        declare(2, Millis(500));
        in_force(2).await;
        let mut idle = vm.connect().await;
        assert_eq!(idle.request(&get("/read/1", "r")).await.unwrap().status, 200);
        declare(3, Millis(5_000));
        in_force(3).await;
        tokio::time::sleep(Millis(700).duration()).await;
        assert_eq!(idle.request(&get("/read/2", "s")).await.unwrap().status, 200);
        declare(4, Millis(200));
        in_force(4).await;
        assert!(idle.response().await.is_none());
        assert!(vm.connect().await.request(&get("/read/3", "t")).await.is_some());
    })
    .await;
}
