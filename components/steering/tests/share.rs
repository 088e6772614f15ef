//! A VM's own limits: the shares of a cap never sum to more than the cap, and the limits of a link
//! cover both directions.

use clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use settings::{Drain, Target};
use steering::sample::{self, Size};
use steering::share::{self, Configuration, LinkLimit, RegionLimit};
use steering::{Allotment, SHARE_SCALE, Snapshot};

const NOW: Millis = Millis(1_000_000);

fn configuration(snapshot: &Snapshot) -> Configuration<'_> {
    Configuration {
        deployment: &snapshot.deployment,
        preset: &snapshot.preset,
        drains: &snapshot.drains,
    }
}

#[test]
fn limits_of_all_vms_sum_to_at_most_the_caps() {
    let snapshot = sample::snapshot(Size { vms: 11, ..Size::TODAY });
    let limits: Vec<_> = snapshot
        .vms
        .iter()
        .map(|vm| share::limits(&snapshot.plan, configuration(&snapshot), &vm.name, "nord", NOW))
        .collect();
    for region in 0..3 {
        let requests: u32 = limits.iter().map(|limit| limit.regions[region].requests).sum();
        assert!(requests > 850 && requests <= 900, "{requests} of 900");
        let shift: u32 = limits.iter().map(|limit| limit.regions[region].shift).sum();
        assert!(shift > 90 && shift <= 100, "{shift} of 100");
    }
}

#[test]
fn a_link_carries_the_requests_of_one_end_and_the_responses_of_the_other() {
    let mut snapshot = sample::snapshot(Size::TODAY);
    for member in &mut snapshot.plan.members {
        member.regions = vec![Allotment::exact(SHARE_SCALE / 3); 3];
    }
    let limit =
        |vm: &str, home| share::limits(&snapshot.plan, configuration(&snapshot), vm, home, NOW);
    assert_eq!(limit("vm-0000", "nord").links[0], LinkLimit::UNLIMITED);
    let nord = ["vm-0000", "vm-0003", "vm-0006"].map(|vm| limit(vm, "nord").links[1].send_kbit);
    let centre =
        ["vm-0001", "vm-0004", "vm-0007"].map(|vm| limit(vm, "centre").links[0].receive_kbit);
    let carried: u32 = nord.iter().chain(&centre).sum();
    let cap = share::link_cap(&snapshot.preset, &snapshot.deployment.links[0]);
    assert!(carried <= cap && carried > cap * 9 / 10, "{carried} of {cap}");
}

#[test]
fn a_vm_without_an_allocation_may_send_nothing() {
    let snapshot = sample::snapshot(Size::TODAY);
    let limits = share::limits(&snapshot.plan, configuration(&snapshot), "stranger", "nord", NOW);
    assert!(limits.regions.iter().all(|limit| *limit == RegionLimit::default()));
    assert!(limits.links[1..].iter().all(|limit| *limit == LinkLimit::default()));
}

#[test]
fn a_drained_domain_reduces_the_cap_of_its_region() {
    let mut snapshot = sample::snapshot(Size::TODAY);
    let target = Target::Domain("nord-1".into());
    let end = NOW + Millis(1000);
    snapshot.drains.push(Drain { name: "rack".into(), target, start: NOW, end });
    let nord = &snapshot.deployment.regions[0];
    assert_eq!(share::region_cap(configuration(&snapshot), nord, NOW), 450);
    assert_eq!(share::region_cap(configuration(&snapshot), nord, end), 900);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn shares_sum_to_at_most_the_cap(
        weights in prop::collection::vec(1u32..1000, 1..40),
        capacity in 1u32..2_000_000,
        headroom in 0.01f64..1.0,
    ) {
        let mut snapshot = sample::snapshot(Size { vms: weights.len(), ..Size::TODAY });
        let total: u32 = weights.iter().sum();
        for (member, weight) in snapshot.plan.members.iter_mut().zip(&weights) {
            let share = (u64::from(SHARE_SCALE) * u64::from(*weight) / u64::from(total)) as u32;
            member.regions = vec![Allotment::exact(share); 3];
        }
        let mut deployment = (*snapshot.deployment).clone();
        deployment.regions.iter_mut().for_each(|region| region.capacity = capacity);
        snapshot.deployment = deployment.into();
        snapshot.preset.headroom = headroom;
        let limit = |vm: &steering::Vm| {
            share::limits(&snapshot.plan, configuration(&snapshot), &vm.name, "nord", NOW)
                .regions[0]
                .requests
        };
        let sum: u64 = snapshot.vms.iter().map(|vm| u64::from(limit(vm))).sum();
        prop_assert!(sum as f64 <= f64::from(capacity) * headroom);
    }
}
