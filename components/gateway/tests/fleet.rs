//! A fleet in which only a few VMs follow the store and the others rely on them.

mod world;

use clock::Millis;
use std::time::Instant;
use steering::catalogue::Feed;
use world::caller::get;
use world::{Vm, World, run_test, until};

/// More VMs than a fleet in which all of them read from the store.
const VMS: usize = 20;
/// The drain bound of the test settings.
const DRAIN_MS: u128 = 2_000;
/// Longer than a reader's request to the store waits.
const POLL_SPAN: Millis = Millis(2_500);

/// Starts a fleet of one region; returns its VMs once they know each other.
async fn fleet(world: &World) -> Vec<Vm> {
    world.upstream("u1").await;
    world.declare(1);
    let mut vms = vec![world.gateway("vm0").await];
    let seed = vms[0].heartbeats();
    for number in 1..VMS {
        let name = format!("vm{number}");
        vms.push(world.gateway_with(&name, |settings| settings.seeds = vec![seed]).await);
    }
    for vm in &vms {
        vm.await_ready().await;
        until(async || vm.look_up("r1").await.len() == VMS).await;
    }
    vms
}

/// Guards against requests to upstreams that have left: the readers of a region could no longer
/// reach the store, and the VMs that rely on them went on for 5 s, longer than the drain bound,
/// before they read from it themselves.
#[tokio::test]
async fn a_vm_whose_readers_are_cut_off_learns_of_a_removal_within_the_drain_bound() {
    run_test(async |world| {
        let vms = fleet(&world).await;
        // VMs that join read for a while, as nobody has confirmed their copy yet.
        tokio::time::sleep(POLL_SPAN.duration()).await;
        world.store.forget_callers();
        tokio::time::sleep(POLL_SPAN.duration()).await;
        let readers = world.store.callers();
        assert!(readers.len() <= VMS / 2, "{readers:?}");
        for reader in &readers {
            world.store.cut_off(reader);
        }
        world.store.remove(Feed::Upstreams, "u1");
        let removed = Instant::now();
        for (number, vm) in vms.iter().enumerate() {
            if readers.contains(format!("vm{number}").as_str()) {
                continue;
            }
            let mut caller = vm.connect().await;
            until(async || caller.request(&get("/read/1", "r")).await.unwrap().status == 503).await;
        }
        let took = removed.elapsed().as_millis();
        assert!(took < DRAIN_MS, "{took} ms until all VMs that reach the store know");
    })
    .await;
}
