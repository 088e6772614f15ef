//! The age that a VM believes its copies of the store's feeds to have.

mod world;

use clock::{Clock, Millis};
use std::sync::atomic::{AtomicU64, Ordering};
use steering::catalogue::Feed;
use world::probe::Probe;
use world::run_test;

/// The time for which a statement was on its way, or the VM was not running.
const DELAY: Millis = Millis(1_500);
/// An age of two rounded times may be too small by this.
const ROUNDING: Millis = Millis(2);

/// Guards against requests that are handled by an older configuration: the steady clock of a
/// suspended VM stands still, so that the VM took its copy for younger than it was when it woke up.
#[tokio::test]
async fn the_time_for_which_a_vm_is_suspended_counts_as_age() {
    static SUSPENDED: AtomicU64 = AtomicU64::new(0);
    run_test(async |world| {
        world.upstream("u1").await;
        world.declare(1);
        let clock = Clock::system().with_suspension(&SUSPENDED);
        let vm = world.gateway_with_clock("a", clock).await;
        vm.await_ready().await;
        world.store.cut_off("a");
        let mut probe = Probe::open(&world, "probe").await;
        SUSPENDED.fetch_add(DELAY.0, Ordering::Relaxed);
        for feed in Feed::ALL {
            let age = probe.age(vm.heartbeats(), feed).await.unwrap();
            assert!(age + ROUNDING >= DELAY, "{feed:?}: {age}");
        }
    })
    .await;
}
