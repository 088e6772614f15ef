//! Look-ups spread blocks evenly, move few blocks when VMs change, use several failure domains, and
//! avoid VMs that are drained, suspected, leaving or without a share.

use clock::Millis;
use errors::Kind;
use settings::{Drain, Target};
use std::sync::Arc;
use steering::sample::{self, Size};
use steering::{Index, Lookup, Reason, Snapshot, State, lookup};

const NOW: Millis = Millis(1_000_000);
const SERVICE: &str = "status";

fn blocks(snapshot: &Snapshot) -> Vec<u32> {
    let sites = snapshot.deployment.sites.iter();
    sites.flat_map(|site| site.blocks.iter().map(|range| range.first)).collect()
}

fn first(index: &Index, block: u32) -> Arc<str> {
    let found = find(index, block);
    Arc::clone(&index.snapshot().vms[usize::from(found.entries.as_slice()[0])].name)
}

fn find(index: &Index, block: u32) -> Lookup {
    let region = index.home(index.site(block).unwrap());
    lookup(index, block, SERVICE, region, NOW).unwrap()
}

#[test]
fn returns_three_entries_and_two_domains_of_the_region_first() {
    let snapshot = Arc::new(sample::snapshot(Size::TODAY));
    let index = Index::new(Arc::clone(&snapshot));
    for block in blocks(&snapshot) {
        let found = find(&index, block);
        let domain = |at: usize| {
            let vm = usize::from(found.entries.as_slice()[at]);
            &snapshot.vms[vm].domain
        };
        let home = &snapshot.deployment.regions[usize::from(found.region)];
        assert!(home.domains.contains(domain(0)) && home.domains.contains(domain(1)));
        assert_ne!(domain(0), domain(1));
        assert!(!home.domains.contains(domain(2)));
        assert_eq!(found.reason, Reason::Ranked);
    }
}

#[test]
fn a_removed_vm_moves_only_its_own_blocks() {
    let full = Arc::new(sample::snapshot(Size { vms: 30, ..Size::TODAY }));
    let mut fewer = (*full).clone();
    let removed = fewer.vms.remove(7).name;
    let before = Index::new(Arc::clone(&full));
    let after = Index::new(Arc::new(fewer));
    let mut moved = 0;
    for block in blocks(&full) {
        let (old, new) = (first(&before, block), first(&after, block));
        assert!(old == new || old == removed, "{block} moved from {old} to {new}");
        moved += usize::from(old == removed);
    }
    let ideal = blocks(&full).len() / 30;
    assert!(moved > ideal / 2 && moved < 2 * ideal, "{moved} of {ideal}");
}

#[test]
fn the_busiest_vm_gets_less_than_115_percent_of_the_mean_at_design_size() {
    let snapshot = Arc::new(sample::snapshot(Size { vms: 60, ..Size::DESIGN }));
    let index = Index::new(Arc::clone(&snapshot));
    let mut first_entries = vec![0usize; 60];
    for block in blocks(&snapshot) {
        first_entries[usize::from(find(&index, block).entries.as_slice()[0])] += 1;
    }
    let mean = blocks(&snapshot).len() / 60;
    assert!(*first_entries.iter().max().unwrap() < mean * 115 / 100);
}

#[test]
fn skips_vms_that_are_suspect_leaving_or_without_a_share() {
    let mut snapshot = sample::snapshot(Size::TODAY);
    snapshot.vms[0].state = State::Suspect;
    snapshot.vms[3].state = State::Leaving;
    snapshot.plan.members.retain(|member| &*member.vm != "vm-0006");
    let snapshot = Arc::new(snapshot);
    let index = Index::new(Arc::clone(&snapshot));
    for block in blocks(&snapshot) {
        let found = find(&index, block);
        assert!(found.entries.as_slice().iter().all(|vm| ![0, 3, 6].contains(vm)));
        let expected = if found.region == 0 { Reason::NextRegion } else { Reason::Ranked };
        assert_eq!(found.reason, expected);
    }
}

#[test]
fn returns_unfit_vms_when_no_vm_is_fit() {
    let mut snapshot = sample::snapshot(Size::TODAY);
    snapshot.vms.iter_mut().for_each(|vm| vm.state = State::Suspect);
    let all_suspect = Index::new(Arc::new(snapshot.clone()));
    assert_eq!(find(&all_suspect, 0).reason, Reason::AllSuspect);
    assert_eq!(find(&all_suspect, 0).entries.as_slice().len(), 3);
    snapshot.vms.iter_mut().for_each(|vm| vm.state = State::Leaving);
    let all_leaving = Index::new(Arc::new(snapshot.clone()));
    assert_eq!(find(&all_leaving, 0).reason, Reason::AllLeaving);
    snapshot.vms.clear();
    let none = Index::new(Arc::new(snapshot));
    assert_eq!(lookup(&none, 0, SERVICE, 0, NOW).unwrap_err().kind, Kind::NotReady);
}

#[test]
fn a_drained_domain_is_skipped_and_a_planned_drain_is_reported() {
    let mut snapshot = sample::snapshot(Size::TODAY);
    let drain = |name: &str, domain: &str, start| Drain {
        name: name.into(),
        target: Target::Domain(domain.into()),
        start,
        end: NOW + Millis::from_secs(100),
    };
    snapshot.drains.push(drain("now", "nord-0", NOW));
    snapshot.drains.push(drain("soon", "nord-1", NOW + Millis::from_secs(60)));
    let index = Index::new(Arc::new(snapshot));
    let found = find(&index, 0);
    let domain = |vm: &u16| &*index.snapshot().vms[usize::from(*vm)].domain;
    assert!(found.entries.as_slice().iter().all(|vm| domain(vm) != "nord-0"));
    assert_eq!(domain(&found.entries.as_slice()[0]), "nord-1");
    assert_eq!(found.drain_start, Some(NOW + Millis::from_secs(60)));
}

#[test]
fn a_block_between_ranges_is_unknown() {
    let index = Index::new(Arc::new(sample::snapshot(Size::TODAY)));
    assert_eq!(lookup(&index, 1, SERVICE, 0, NOW).unwrap_err().kind, Kind::UnknownBlock);
    assert_eq!(lookup(&index, u32::MAX, SERVICE, 0, NOW).unwrap_err().kind, Kind::UnknownBlock);
}
