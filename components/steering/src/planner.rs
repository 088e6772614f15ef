//! The planner: from the plan in force and what is seen, the next plan, if one is needed.
//!
//! It decides nothing that a node must wait for: shares hold under any partition, and shifts go on
//! while no planner runs. See docs/LIMITS.md and docs/SHIFTS.md.

use crate::allot::allot;
use crate::weights::{split, weights};
use crate::{Allocation, Allotment, Plan, SHARE_SCALE, Segment, Split, Stamp, State};
use clock::Millis;
use serde::{Deserialize, Serialize};
use settings::{Deployment, Drain, Preset};
use std::sync::Arc;

/// The least time between two plans that differ only in shares.
const SHARE_INTERVAL: Millis = Millis::from_secs(2);

/// How far a shift must have come before the plan says so, for nodes that start meanwhile.
const SETTLED_STEP: u32 = SHARE_SCALE / 8;

/// The most segments of a mixed assignment; a further change waits until the shift has ended.
const MAX_SEGMENTS: usize = 8;

/// Steps added to a drain's lead for the planner, the spread of the plan and the last slab.
const SPARE_STEPS: u64 = 5;

/// By how many times a shift before a drain may take longer than one under a full cap.
const LEAD_FACTOR: u64 = 4;

/// How many standard deviations of a second's requests a share has room for, beside its mean.
const BURST_DEVIATIONS: u32 = 3;

/// What the planner sees.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The configuration version in force.
    pub version: u64,
    /// Regions, links and sites.
    pub deployment: &'a Deployment,
    /// The preset in force.
    pub preset: &'a Preset,
    /// Planned drains.
    pub drains: &'a [Drain],
    /// One report for each entry VM that the platform's list shows or a peer hears.
    ///
    /// A member without a report is gone for good and its share is free again, so a VM that is
    /// only silent must be reported, as [`State::Suspect`].
    pub reports: &'a [Report],
    /// The epoch of the planner's lease.
    pub epoch: u64,
    /// The time.
    pub now: Millis,
    /// When the plan in force was made; zero if unknown.
    pub plan_made_at: Millis,
}

/// An entry VM as the planner sees it.
#[derive(Clone, Debug)]
pub struct Report {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The number of its region in the deployment.
    pub region: u16,
    /// Whether it takes new work.
    pub state: State,
    /// The plan it last said it holds; `None` if it never did.
    pub ack: Option<Ack>,
    /// What its callers ask for.
    pub demand: Demand,
}

/// A node's word on the plan that it holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The plan it holds; it will never again use an earlier one.
    pub stamp: Stamp,
    /// The number of that plan's shift.
    pub shift: u64,
    /// How much of that shift it has done, in units of [`SHARE_SCALE`].
    pub settled: u32,
}

/// Requests a second that a VM's callers ask for, admitted or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Those for each region, in the deployment's order.
    pub regions: Vec<u32>,
    /// Those that a shift is still to move.
    pub moving: u32,
}

impl Demand {
    /// The demand with room for the bursts of requests that arrive independently.
    pub(crate) fn with_bursts(&self) -> Demand {
        let room = |rate: &u32| rate + BURST_DEVIATIONS * rate.isqrt();
        Demand { regions: self.regions.iter().map(room).collect(), moving: self.moving }
    }

    /// Those for the region of this number.
    pub(crate) fn region(&self, region: usize) -> u32 {
        self.regions.get(region).copied().unwrap_or(0)
    }
}

/// The plan that is to follow `old`, or `None` if nothing has to change.
///
/// The caller commits it in a transaction that reads both the epoch and `old`, so that every plan
/// was made from the one before it.
pub fn next_plan(old: &Plan, input: &Input<'_>) -> Option<Plan> {
    let old_here = renumbered(old, input.deployment);
    let regions = input.deployment.regions.len();
    let shift = next_shift(&old_here, input);
    let urgent = shift.is_some() || old_here.regions != old.regions;
    let due = input.now - input.plan_made_at >= SHARE_INTERVAL;
    let members = if urgent || due { allot(&old_here, input.reports, regions) } else { None };
    if !urgent && members.is_none() {
        return None;
    }
    let mut plan = shift.unwrap_or_else(|| old_here.clone());
    plan.version = input.version;
    plan.demand = total_demand(input.reports).min(u64::from(u32::MAX)) as u32;
    plan.sequence = if input.epoch > old.epoch { 1 } else { old.sequence + 1 };
    plan.epoch = input.epoch.max(old.epoch);
    plan.members = members.unwrap_or_else(|| carried(&old_here, input.reports));
    Some(plan)
}

/// The members when no share changes: what a VM held before, it may hold until it acknowledges.
fn carried(old: &Plan, reports: &[Report]) -> Vec<Allocation> {
    let carry = |member: &Allocation| {
        let report = reports.iter().find(|report| report.vm == member.vm);
        let ack = report.and_then(|report| report.ack);
        let mut member = member.clone();
        if ack.is_some_and(|ack| ack.stamp >= old.stamp()) {
            member.shift.extra = 0;
            member.regions.iter_mut().for_each(|units| units.extra = 0);
        }
        member
    };
    old.members.iter().map(carry).collect()
}

/// `old` with its rows and members in the order of the deployment's regions.
fn renumbered(old: &Plan, deployment: &Deployment) -> Plan {
    let names: Vec<Arc<str>> = deployment.regions.iter().map(|r| Arc::clone(&r.name)).collect();
    if old.regions == names {
        return old.clone();
    }
    let mut plan = old.clone();
    for segment in &mut plan.from {
        segment.split = segment.split.renumber(&old.regions, &names);
    }
    if !old.from.is_empty() {
        plan.to = old.to.renumber(&old.regions, &names);
    }
    for member in &mut plan.members {
        let old_number = |name| old.regions.iter().position(|region| region == name);
        let units = |name| old_number(name).map_or(Allotment::default(), |at| member.allotment(at));
        member.regions = names.iter().map(units).collect();
    }
    plan.regions = names;
    plan
}

/// The plan with its shift started, advanced or ended; `None` if the shift stays as it is.
fn next_shift(old: &Plan, input: &Input<'_>) -> Option<Plan> {
    let done = done(old, input.reports);
    if let Some(wanted) = wanted(old, input) {
        return start(old, wanted, done);
    }
    if old.is_settled() || (done < SHARE_SCALE && done < old.settled.saturating_add(SETTLED_STEP)) {
        return None;
    }
    let mut plan = old.clone();
    plan.settled = done;
    if plan.is_settled() {
        plan.from = vec![Segment { until: SHARE_SCALE, split: plan.to.clone() }];
    }
    Some(plan)
}

fn start(old: &Plan, wanted: Split, done: u32) -> Option<Plan> {
    let mut plan = old.clone();
    plan.shift += 1;
    plan.settled = 0;
    if old.from.is_empty() {
        plan.from = vec![Segment { until: SHARE_SCALE, split: wanted.clone() }];
        plan.settled = SHARE_SCALE;
    } else if !old.is_settled() {
        plan.from = mixture(old, done.max(old.settled));
    }
    plan.to = wanted;
    (plan.from.len() <= MAX_SEGMENTS).then_some(plan)
}

/// Where each position is served when the shift has come as far as `settled`.
fn mixture(old: &Plan, settled: u32) -> Vec<Segment> {
    let mut mixed = Vec::new();
    if settled > 0 {
        mixed.push(Segment { until: settled, split: old.to.clone() });
    }
    mixed.extend(old.from.iter().filter(|segment| segment.until > settled).cloned());
    mixed.dedup_by(|later, earlier| {
        let same = later.split == earlier.split;
        earlier.until = if same { later.until } else { earlier.until };
        same
    });
    mixed
}

/// How far the shift has come at every node that reports.
fn done(old: &Plan, reports: &[Report]) -> u32 {
    let live = reports.iter().filter(|report| report.state == State::Live);
    let members = live.filter(|report| old.allocation(&report.vm).is_some());
    let settled = |report: &Report| {
        let ack = report.ack.filter(|ack| ack.shift == old.shift);
        ack.map_or(0, |ack| ack.settled)
    };
    members.map(settled).min().unwrap_or(0)
}

/// The split that traffic is to be shifted to, unless it is the plan's already.
///
/// A drain counts from its lead before its start, and a shift for it isn't undone while it is
/// within twice the lead, so that a small change of demand doesn't move traffic to and fro.
fn wanted(old: &Plan, input: &Input<'_>) -> Option<Split> {
    let lead = lead(input);
    let near = split_at(input, lead);
    let far = split_at(input, lead + lead);
    (old.to != near && old.to != far).then_some(near)
}

/// The split for the drains that are in force or start within `ahead`.
fn split_at(input: &Input<'_>, ahead: Millis) -> Split {
    let due = |drain: &&Drain| drain.start <= input.now + ahead && input.now < drain.end;
    let begun = |drain: &Drain| Drain { start: drain.start.min(input.now), ..drain.clone() };
    let drains: Vec<Drain> = input.drains.iter().filter(due).map(begun).collect();
    split(input.deployment, &weights(input.deployment, input.preset, &drains, input.now))
}

/// How long before its start a drain's traffic begins to move, as if all traffic had to move to
/// one region.
fn lead(input: &Input<'_>) -> Millis {
    let total = total_demand(input.reports);
    let steps = total / u64::from(input.preset.shift_cap.max(1)) + 1;
    Millis((LEAD_FACTOR * steps + SPARE_STEPS) * input.preset.shift_step.0)
}

fn total_demand(reports: &[Report]) -> u64 {
    let rates = reports.iter().flat_map(|report| &report.demand.regions);
    rates.map(|rate| u64::from(*rate)).sum()
}
