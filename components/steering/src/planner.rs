//! Computes the next plan from the plan in force and the reports of the entry VMs.
//!
//! No VM ever waits for the planner: limits hold under any partition, and shifts continue while no
//! planner runs. See docs/LIMITS.md and docs/SHIFTS.md.

use crate::allot::allot;
use crate::share::{Configuration, region_cap};
use crate::weights::{split, weights};
use crate::{Allocation, Allotment, Plan, SHARE_SCALE, Segment, Split, Stamp, State};
use clock::Millis;
use serde::{Deserialize, Serialize};
use settings::{Deployment, Drain, Preset};
use std::sync::Arc;

/// The least time between two plans that differ only in shares.
const SHARE_INTERVAL_MIN: Millis = Millis::from_secs(2);

/// The progress of a shift, in units of [`SHARE_SCALE`], after which a new plan records it, so that
/// VMs that start in the middle of the shift continue from there.
const SETTLED_STEP: u32 = SHARE_SCALE / 8;

/// The most segments of a plan's `from`. A change of target that needs more waits until the current
/// shift has ended.
const MAX_SEGMENTS: usize = 8;

/// Shift steps added to a drain's lead: for the planner, the distribution of the plan and the last
/// batch of positions.
const LEAD_EXTRA_STEPS: u64 = 5;

/// How many times longer a shift before a drain may take than one that uses the full shift cap.
const LEAD_FACTOR: u64 = 4;

/// The headroom of a share above the mean demand, in standard deviations of the requests in one
/// second.
const BURST_DEVIATIONS: u32 = 3;

/// The planner's input.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The version of the configuration in force.
    pub version: u64,
    /// Regions, links and sites.
    pub deployment: &'a Deployment,
    /// The preset in force.
    pub preset: &'a Preset,
    /// Planned drains.
    pub drains: &'a [Drain],
    /// One report for each entry VM that the platform lists or that any peer receives heartbeats
    /// from.
    ///
    /// The shares of a VM without a report are given to others, so a VM that only doesn't respond
    /// must be reported as [`State::Suspect`].
    pub reports: &'a [Report],
    /// The epoch of the planner's lease, its fencing token.
    pub epoch: u64,
    /// The time.
    pub now: Millis,
    /// When the plan in force was made; zero if unknown.
    pub plan_made_at: Millis,
}

/// What the planner knows of an entry VM.
#[derive(Clone, Debug)]
pub struct Report {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The number of its region in the deployment.
    pub region: u16,
    /// Whether it takes new requests.
    pub state: State,
    /// The plan that it last acknowledged; `None` if it hasn't acknowledged any.
    pub ack: Option<Ack>,
    /// The demand of its callers.
    pub demand: Demand,
}

/// A VM's acknowledgement of a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The plan that the VM holds; it never again uses an earlier one.
    pub stamp: Stamp,
    /// The number of that plan's shift.
    pub shift: u64,
    /// How much of that shift the VM has done, in units of [`SHARE_SCALE`].
    pub settled: u32,
}

/// The requests a second that a VM's callers send, admitted or not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The requests a second for each region, in the deployment's order.
    pub regions: Vec<u32>,
    /// The requests a second that the current shift has still to move.
    pub moving: u32,
}

impl Demand {
    /// The demand of each region plus headroom for bursts of independent arrivals.
    pub(crate) fn with_bursts(&self) -> Demand {
        let with_headroom = |rate: &u32| rate + BURST_DEVIATIONS * rate.isqrt();
        Demand { regions: self.regions.iter().map(with_headroom).collect(), moving: self.moving }
    }

    /// The requests a second for the region with this number.
    pub(crate) fn region(&self, region: usize) -> u32 {
        self.regions.get(region).copied().unwrap_or(0)
    }
}

/// Computes the plan that follows `old`; `None` if nothing has to change.
///
/// The caller commits the plan in a transaction that also checks the epoch and `old`, so that every
/// plan is computed from its predecessor.
pub fn next_plan(old: &Plan, input: &Input<'_>) -> Option<Plan> {
    let renumbered = renumber(old, input.deployment);
    let shift = next_shift(&renumbered, input);
    let urgent = shift.is_some() || renumbered.regions != old.regions;
    let due = input.now - input.plan_made_at >= SHARE_INTERVAL_MIN;
    let members =
        if urgent || due { allot(&renumbered, input.reports, &caps(input)) } else { None };
    if !urgent && members.is_none() {
        return None;
    }
    let mut plan = shift.unwrap_or_else(|| renumbered.clone());
    plan.version = input.version;
    plan.demand = total_demand(input.reports).min(u64::from(u32::MAX)) as u32;
    plan.sequence = if input.epoch > old.epoch { 1 } else { old.sequence + 1 };
    plan.epoch = input.epoch.max(old.epoch);
    plan.members = members.unwrap_or_else(|| same_shares(&renumbered, input.reports));
    Some(plan)
}

/// The requests a second that all VMs together may send into each region.
fn caps(input: &Input<'_>) -> Vec<u32> {
    let Input { deployment, preset, drains, now, .. } = *input;
    let configuration = Configuration { deployment, preset, drains };
    let regions = deployment.regions.iter();
    regions.map(|region| region_cap(configuration, region, now)).collect()
}

/// The allocations when no share changes; only the `extra` of VMs that have acknowledged `old`
/// ends.
fn same_shares(old: &Plan, reports: &[Report]) -> Vec<Allocation> {
    let updated = |allocation: &Allocation| {
        let report = reports.iter().find(|report| report.vm == allocation.vm);
        let ack = report.and_then(|report| report.ack);
        let mut allocation = allocation.clone();
        if ack.is_some_and(|ack| ack.stamp >= old.stamp()) {
            allocation.shift.extra = 0;
            allocation.regions.iter_mut().for_each(|region| region.extra = 0);
        }
        allocation
    };
    old.members.iter().map(updated).collect()
}

/// Rewrites `old` for the deployment's regions, matched by name.
fn renumber(old: &Plan, deployment: &Deployment) -> Plan {
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
        let allotment =
            |name| old_number(name).map_or(Allotment::default(), |at| member.allotment(at));
        member.regions = names.iter().map(allotment).collect();
    }
    plan.regions = names;
    plan
}

/// `old` with a shift started, advanced or ended; `None` if the shift doesn't change.
fn next_shift(old: &Plan, input: &Input<'_>) -> Option<Plan> {
    let done = progress(old, input.reports);
    if let Some(target) = new_target(old, input) {
        return start_shift(old, target, done);
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

/// `old` with a shift to `target`; `None` if its `from` would have too many segments.
fn start_shift(old: &Plan, target: Split, done: u32) -> Option<Plan> {
    let mut plan = old.clone();
    plan.shift += 1;
    plan.settled = 0;
    if old.from.is_empty() {
        plan.from = vec![Segment { until: SHARE_SCALE, split: target.clone() }];
        plan.settled = SHARE_SCALE;
    } else if !old.is_settled() {
        plan.from = current_segments(old, done.max(old.settled));
    }
    plan.to = target;
    (plan.from.len() <= MAX_SEGMENTS).then_some(plan)
}

/// How each position is served when positions below `settled` have moved.
fn current_segments(old: &Plan, settled: u32) -> Vec<Segment> {
    let mut segments = Vec::new();
    if settled > 0 {
        segments.push(Segment { until: settled, split: old.to.clone() });
    }
    segments.extend(old.from.iter().filter(|segment| segment.until > settled).cloned());
    segments.dedup_by(|later, earlier| {
        let same = later.split == earlier.split;
        earlier.until = if same { later.until } else { earlier.until };
        same
    });
    segments
}

/// The positions below this have moved at every live VM that holds shares, in units of
/// [`SHARE_SCALE`].
fn progress(old: &Plan, reports: &[Report]) -> u32 {
    let live = reports.iter().filter(|report| report.state == State::Live);
    let members = live.filter(|report| old.allocation(&report.vm).is_some());
    let settled = |report: &Report| {
        let ack = report.ack.filter(|ack| ack.shift == old.shift);
        ack.map_or(0, |ack| ack.settled)
    };
    members.map(settled).min().unwrap_or(0)
}

/// The split to shift traffic to; `None` if the plan has it already.
///
/// A drain takes effect one lead before its start. A shift for it isn't undone while the drain
/// starts within twice the lead, so that a small change of demand doesn't move traffic back and
/// forth.
fn new_target(old: &Plan, input: &Input<'_>) -> Option<Split> {
    let lead = lead(input);
    let due = split_within(input, lead);
    let early = split_within(input, lead + lead);
    (old.to != due && old.to != early).then_some(due)
}

/// The split for the drains that are in force or start within `ahead`.
fn split_within(input: &Input<'_>, ahead: Millis) -> Split {
    let due = |drain: &&Drain| drain.start <= input.now + ahead && input.now < drain.end;
    let started = |drain: &Drain| Drain { start: drain.start.min(input.now), ..drain.clone() };
    let drains: Vec<Drain> = input.drains.iter().filter(due).map(started).collect();
    split(input.deployment, &weights(input.deployment, input.preset, &drains, input.now))
}

/// How long before a drain's start the shift for it begins, sized as if all traffic had to move to
/// one region.
fn lead(input: &Input<'_>) -> Millis {
    let total = total_demand(input.reports);
    let steps = total / u64::from(input.preset.shift_cap.max(1)) + 1;
    Millis((LEAD_FACTOR * steps + LEAD_EXTRA_STEPS) * input.preset.shift_step.0)
}

fn total_demand(reports: &[Report]) -> u64 {
    let rates = reports.iter().flat_map(|report| &report.demand.regions);
    rates.map(|rate| u64::from(*rate)).sum()
}
