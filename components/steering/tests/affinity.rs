//! Objects stay where they are warm.

use clock::Millis;
use std::collections::{BTreeMap, BTreeSet};
use steering::affinity::{Candidate, Choice, Demand, Full, Policy, Reason, ServiceTime, choose};

const POLICY: Policy = Policy { preferred: 1, preferred_elsewhere: 1, queue: 2.0, spills: false };
const USUAL: ServiceTime = ServiceTime { assigned: Millis(100), elsewhere: Millis(100) };
const LEFT: Millis = Millis(2_000);
const FAR: Millis = Millis(50);

fn candidate(id: &str, near: bool) -> Candidate<'_> {
    let network_latency = if near { Millis::ZERO } else { FAR };
    Candidate {
        id,
        slots: 3,
        load: 0.0,
        slowdown: 1.0,
        network_latency,
        assigned: near,
        ejected: false,
    }
}

fn place(candidates: &[Candidate<'_>], object: u64) -> Result<Choice, Full> {
    choose(candidates, &demand(object), &POLICY)
}

/// Demand that no wait satisfies, so that the soonest answer decides.
fn demand(object: u64) -> Demand {
    Demand { object, service_time: USUAL, objective: Millis::ZERO, remaining: LEFT }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("u{number}")).collect()
}

#[test]
fn all_vms_agree_on_an_objects_home_whatever_the_order_of_their_lists() {
    let names = names(6);
    let mut candidates: Vec<Candidate<'_>> = names.iter().map(|id| candidate(id, true)).collect();
    for object in 0..200 {
        let home = candidates[place(&candidates, object).unwrap().index].id;
        candidates.reverse();
        assert_eq!(candidates[place(&candidates, object).unwrap().index].id, home);
    }
}

#[test]
fn an_upstream_that_leaves_moves_only_its_own_objects() {
    let names = names(6);
    let before: Vec<Candidate<'_>> = names.iter().map(|id| candidate(id, true)).collect();
    let after = &before[1..];
    for object in 0..500 {
        let home = before[place(&before, object).unwrap().index].id;
        if home != "u0" {
            assert_eq!(after[place(after, object).unwrap().index].id, home);
        }
    }
}

/// The pattern of a scale day: each region's callers ask for 29 objects of their own, upstreams
/// remember 30, and one region has a third of the upstreams that another has.
#[test]
fn objects_of_a_busy_region_fit_into_the_memory_of_its_upstreams() {
    let near = names(4);
    let far: Vec<String> = (0..8).map(|number| format!("f{number}")).collect();
    let mut seen: BTreeMap<&str, BTreeSet<u64>> = BTreeMap::new();
    for object in 0..29 {
        for load in [0.0, 4.0, 9.0] {
            let mut candidates: Vec<Candidate<'_>> =
                near.iter().map(|id| candidate(id, true)).collect();
            candidates.extend(far.iter().map(|id| candidate(id, false)));
            candidates
                .iter_mut()
                .for_each(|each| each.load = if each.assigned { load } else { 0.0 });
            let chosen = place(&candidates, object).unwrap();
            seen.entry(candidates[chosen.index].id).or_default().insert(object);
        }
    }
    let preferred: usize = seen.values().map(BTreeSet::len).sum();
    assert!(preferred <= 2 * 29, "an object has one home and one outside its region: {preferred}");
    assert!(seen.values().all(|objects| objects.len() <= 30), "{seen:?}");
}

#[test]
fn a_home_is_waited_for_until_the_other_region_answers_sooner() {
    let near = [candidate("a", true)];
    let far = candidate("z", false);
    let mut candidates = vec![near[0], far];
    let reasons: Vec<Reason> = [0.0, 2.0, 3.0, 4.0, 8.0]
        .into_iter()
        .map(|load| {
            candidates[0].load = load;
            place(&candidates, 1).unwrap().reason
        })
        .collect();
    assert_eq!(
        reasons,
        [
            Reason::Preferred,
            Reason::Preferred,
            Reason::Queue,
            Reason::OtherRegion,
            Reason::OtherRegion
        ]
    );
}

/// The pattern of a grown fleet: the queue at a warm home moves four times as fast as an upstream
/// in another region works on an object that it doesn't know.
#[test]
fn a_warm_home_is_waited_for_while_work_elsewhere_takes_longer() {
    let mut candidates = vec![candidate("a", true), candidate("z", false)];
    let service_time = ServiceTime { assigned: Millis(100), elsewhere: Millis(400) };
    let reasons: Vec<Reason> = [3.0, 8.0, 9.0]
        .into_iter()
        .map(|load| {
            candidates[0].load = load;
            choose(&candidates, &Demand { service_time, ..demand(1) }, &POLICY).unwrap().reason
        })
        .collect();
    assert_eq!(reasons, [Reason::Queue, Reason::Queue, Reason::OtherRegion]);
}

/// The pattern of a day's end on a grown fleet: a fifth of a region's requests went to and fro for
/// waits of a few milliseconds, and the last ones on their way were all in other regions.
#[test]
fn a_home_that_answers_within_the_objective_is_waited_for() {
    let mut candidates = vec![candidate("a", true), candidate("z", false)];
    let reasons: Vec<Reason> = [4.0, 8.0, 8.5]
        .into_iter()
        .map(|load| {
            candidates[0].load = load;
            let demand = Demand { objective: Millis(300), ..demand(1) };
            choose(&candidates, &demand, &POLICY).unwrap().reason
        })
        .collect();
    assert_eq!(reasons, [Reason::Queue, Reason::Queue, Reason::OtherRegion]);
}

#[test]
fn what_no_home_can_answer_is_refused_with_the_time_until_there_is_room() {
    let mut candidates = vec![candidate("a", true), candidate("z", false)];
    candidates.iter_mut().for_each(|each| each.load = 9.0);
    let full = place(&candidates, 1).unwrap_err();
    assert!(full.retry_after > Millis::ZERO && full.retry_after < LEFT, "{full:?}");
}

#[test]
fn a_shunned_home_is_passed_over_and_the_last_one_left_is_used() {
    let names = names(3);
    let mut candidates: Vec<Candidate<'_>> = names.iter().map(|id| candidate(id, true)).collect();
    let home = place(&candidates, 7).unwrap().index;
    candidates[home].ejected = true;
    let second = place(&candidates, 7).unwrap().index;
    assert_ne!(second, home);
    candidates.iter_mut().for_each(|each| each.ejected = true);
    assert_eq!(place(&candidates, 7).unwrap().index, home);
}

#[test]
fn without_affinity_any_free_upstream_is_used_before_any_queue() {
    let policy =
        Policy { preferred: usize::MAX, preferred_elsewhere: usize::MAX, queue: 2.0, spills: true };
    let names = names(4);
    let mut candidates: Vec<Candidate<'_>> = names.iter().map(|id| candidate(id, true)).collect();
    candidates.iter_mut().take(3).for_each(|each| each.load = 3.0);
    for object in 0..50 {
        let chosen = choose(&candidates, &demand(object), &policy).unwrap();
        assert_eq!((chosen.index, chosen.reason), (3, Reason::Preferred));
    }
}
