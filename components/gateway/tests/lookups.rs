//! Which entry VMs look-ups name while VMs start, stop and lose touch with each other.

mod world;

use clock::Millis;
use std::time::Instant;
use world::probe::Probe;
use world::{Vm, World, member, run_test, until};

/// Time within which callers need an answer after all VMs were killed.
const ANSWER_BOUND: Millis = Millis(3_000);
/// Longer than a VM may be silent before it counts as dead.
const SUSPENSION: Millis = Millis(3_500);

/// Starts a VM of region `r2` that joins through `peer`.
async fn far_gateway(world: &World, vm: &str, peer: &Vm) -> Vm {
    let seed = peer.heartbeats();
    let change = |settings: &mut gateway::Settings| {
        settings.seeds = vec![seed];
        settings.domain = "d2".into();
        settings.region = "r2".into();
    };
    world.gateway_with(vm, change).await
}

/// The first answer of a VM to look-ups for `region` that isn't a refusal.
async fn first_answer(vm: &Vm, region: &str) -> Vec<String> {
    loop {
        let named = vm.look_up(region).await;
        if !named.is_empty() {
            return named;
        }
        tokio::time::sleep(Millis(10).duration()).await;
    }
}

/// Guards against callers that are sent to other regions: a VM that had just started answered from
/// the few VMs that it had heard of by then, all of other regions.
#[tokio::test]
async fn a_vm_that_has_started_answers_once_it_knows_the_vms_of_the_region() {
    run_test(async |world| {
        let (_upstream, a) = world.serving().await;
        let seed = a.heartbeats();
        let b = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        let far = far_gateway(&world, "far", &a).await;
        let near = [a.callers().to_string(), b.callers().to_string()];
        until(async || far.look_up("r1").await == near && b.look_up("r1").await == near).await;
        world.store.reject("n");
        let mut probe = Probe::open(&world, "probe").await;
        let seed = probe.address();
        let n = world.gateway_with("n", |settings| settings.seeds = vec![seed]).await;
        probe.introduce(n.heartbeats(), &[member(&far, "far", "d2", true)]).await;
        let named = first_answer(&n, "r1").await;
        assert!(near.iter().all(|each| named.contains(each)), "{named:?}");
        assert!(!named.contains(&far.callers().to_string()), "{named:?}");
    })
    .await;
}

/// Guards against callers without any entry VM: after all VMs were killed, none of them knows the
/// deployment, and each would wait for the others.
#[tokio::test]
async fn vms_that_start_at_the_same_time_answer_soon() {
    run_test(async |world| {
        world.upstream("u1").await;
        world.declare(1);
        let started = Instant::now();
        let a = world.gateway("a").await;
        let seed = a.heartbeats();
        let b = world.gateway_with("b", |settings| settings.seeds = vec![seed]).await;
        let both = [a.callers().to_string(), b.callers().to_string()];
        assert_eq!(first_answer(&b, "r1").await, both);
        assert_eq!(first_answer(&a, "r1").await, both);
        let took = started.elapsed();
        assert!(took < ANSWER_BOUND.duration(), "{took:?}");
    })
    .await;
}

/// Guards against callers that are sent to other regions: a look-up of a region that no VM knows
/// was answered with the VMs of all regions, also if it gave the caller's failure domain.
#[tokio::test]
async fn a_look_up_without_a_known_region_is_answered_by_failure_domain_or_own_region() {
    run_test(async |world| {
        let (_upstream, a) = world.serving().await;
        let far = far_gateway(&world, "far", &a).await;
        let (near, far) = ([a.callers().to_string()], [far.callers().to_string()]);
        until(async || a.look_up("r1").await == near && a.look_up("r2").await == far).await;
        for (query, expected) in [
            ("", &near),
            ("region=", &near),
            ("region=nowhere", &near),
            ("domain=d2", &far),
            ("region=nowhere&domain=d2", &far),
            ("region=nowhere&domain=nowhere", &near),
            ("region=r1&domain=d2", &near),
        ] {
            assert_eq!(a.look_up_with(query).await, expected, "{query}");
        }
    })
    .await;
}

/// Guards against callers that are sent to other regions by a VM that was suspended: all of its
/// peers seemed to have died, so that it named itself.
#[tokio::test]
async fn a_vm_that_was_suspended_answers_once_it_knows_the_vms_of_the_region() {
    run_test(async |world| {
        let (_upstream, a) = world.serving().await;
        let far = far_gateway(&world, "far", &a).await;
        let near = [a.callers().to_string()];
        until(async || far.look_up("r1").await == near).await;
        // Both VMs run on this thread.
        std::thread::sleep(SUSPENSION.duration());
        assert_eq!(first_answer(&far, "r1").await, near);
    })
    .await;
}

/// Guards against live VMs that look-ups leave out: in a large fleet, their heartbeats aren't always
/// forwarded to everybody in time.
#[tokio::test]
async fn a_heartbeat_is_requested_of_a_vm_that_seems_silent_before_it_counts_as_dead() {
    run_test(async |world| {
        let (_upstream, a) = world.serving().await;
        let mut probe = Probe::open(&world, "probe").await;
        probe.set_ready();
        let address = probe.member().callers.to_string();
        probe.introduce(a.heartbeats(), &[]).await;
        let is_named = async || a.look_up("r1").await.contains(&address);
        until(is_named).await;
        probe.answer_request(a.heartbeats()).await;
        tokio::time::sleep(SUSPENSION.duration() / 2).await;
        assert!(is_named().await);
        // It responds no more.
        until(async || !is_named().await).await;
    })
    .await;
}
