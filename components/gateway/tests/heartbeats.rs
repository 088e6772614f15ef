//! Heartbeats of large fleets.

mod world;

use clock::Millis;
use steering::membership::Member;
use world::probe::Probe;
use world::{World, run_test};

/// The longest heartbeat that a VM reads.
const MAX_DATAGRAM_BYTES: usize = 8_192;

// Guards against heartbeats that are longer than what their receiver reads, which would ignore them:
// they grow with the fleet.
#[tokio::test]
async fn a_heartbeat_of_a_fleet_of_hundreds_can_be_read() {
    run_test(async |world: World| {
        let (_upstream, vm) = world.serving().await;
        let mut probe = Probe::open(&world, "probe").await;
        let names: Vec<String> =
            (0..700).map(|number| format!("frontend-antwerpen-noord-{number}")).collect();
        let members: Vec<Member> = names
            .iter()
            .map(|name| Member {
                vm: name.as_str().into(),
                incarnation: 1_790_000_000_000,
                counter: 200_000,
                ..probe.member()
            })
            .collect();
        for chunk in members.chunks(20) {
            probe.introduce(vm.heartbeats(), chunk).await;
        }
        let longest = probe.longest_datagram(Millis(1_500)).await;
        assert!((4_096..=MAX_DATAGRAM_BYTES).contains(&longest), "{longest} bytes");
    })
    .await;
}
