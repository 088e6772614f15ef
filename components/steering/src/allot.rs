//! The shares of the members: what each may use, and what it may still believe it holds.
//!
//! For every cap the held parts sum to at most [`SHARE_SCALE`], whatever plan each node holds: a share
//! grows only out of what no node holds. See docs/LIMITS.md.

use crate::planner::{Demand, Report};
use crate::{Allocation, Allotment, Plan, SHARE_SCALE, State};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The part of every cap, in units of [`SHARE_SCALE`], that is split by the number of members alone, so
/// that a VM without demand so far can serve its first requests.
const FLOOR: u32 = SHARE_SCALE / 10;

/// The part of the shift cap, in units of [`SHARE_SCALE`], that is split by the number of members alone.
///
/// It is larger, because a region that is lost while no planner runs makes other VMs move traffic
/// than those that moved some before.
const SHIFT_FLOOR: u32 = SHARE_SCALE / 2;

/// The weight of a member in its own region's floor; in the other regions' it is one.
const HOME_WEIGHT: u32 = 4;

/// A share is changed when it is off its target by more than one part in this many.
const TOLERANCE: u32 = 10;

/// One VM that is, was or is to be a member.
#[derive(Debug)]
struct Claim {
    vm: Arc<str>,
    region: u16,
    demand: Demand,
    eligible: bool,
    regions: Vec<Part>,
    shift: Part,
}

/// One share of a claim.
#[derive(Clone, Copy, Debug, Default)]
struct Part {
    /// The share in the plan in force.
    share: u32,
    /// What can't be given to another, because the VM may use it until it acknowledges.
    base: u32,
    /// What the share is to become.
    target: u32,
}

impl Part {
    fn of(units: Allotment, acknowledged: bool) -> Part {
        let base = if acknowledged { units.share } else { units.held() };
        Part { share: units.share, base, target: 0 }
    }

    fn want(&self) -> u32 {
        self.target.saturating_sub(self.base)
    }

    fn is_off(&self) -> bool {
        let off = self.share.abs_diff(self.target);
        off > self.share.max(self.target) / TOLERANCE
    }

    fn grown(&self, grant: u32) -> Allotment {
        let share = self.target.min(self.base + grant);
        Allotment { share, extra: self.base.saturating_sub(share) }
    }
}

/// The members of the plan that follows `old`, or `None` if the shares may stay as they are.
pub(crate) fn allot(old: &Plan, reports: &[Report], regions: usize) -> Option<Vec<Allocation>> {
    let mut claims = claims(old, reports, regions);
    set_targets(&mut claims, regions);
    let gone = old.members.iter().any(|member| !claims.iter().any(|claim| claim.vm == member.vm));
    let off = |claim: &Claim| claim.shift.is_off() || claim.regions.iter().any(Part::is_off);
    if !gone && !claims.iter().any(off) {
        return None;
    }
    let members = grant(&claims, regions);
    (members != old.members).then_some(members)
}

fn claims(old: &Plan, reports: &[Report], regions: usize) -> Vec<Claim> {
    let sorted: BTreeMap<&Arc<str>, &Report> =
        reports.iter().map(|report| (&report.vm, report)).collect();
    sorted.into_values().map(|report| claim(old, report, regions)).collect()
}

fn claim(old: &Plan, report: &Report, regions: usize) -> Claim {
    let member = old.allocation(&report.vm);
    let acknowledged = report.ack.is_some_and(|ack| ack.stamp >= old.stamp());
    let units =
        |region: usize| member.map_or(Allotment::default(), |member| member.allotment(region));
    let shift = member.map_or(Allotment::default(), |member| member.shift);
    Claim {
        vm: Arc::clone(&report.vm),
        region: report.region,
        demand: report.demand.with_bursts(),
        eligible: report.state != State::Leaving,
        regions: (0..regions).map(|region| Part::of(units(region), acknowledged)).collect(),
        shift: Part::of(shift, acknowledged),
    }
}

/// Sets every target in proportion to demand, above a floor for all.
fn set_targets(claims: &mut [Claim], regions: usize) {
    for region in 0..regions {
        let goal = Goal {
            demand: eligible(claims).map(|claim| u64::from(claim.demand.region(region))).sum(),
            weight: eligible(claims).map(|claim| claim.weight(region)).sum(),
            floor: FLOOR,
        };
        for claim in claims.iter_mut().filter(|claim| claim.eligible) {
            let target = goal.part(claim.demand.region(region), claim.weight(region));
            claim.regions[region].target = target;
        }
    }
    let goal = Goal {
        demand: eligible(claims).map(|claim| u64::from(claim.demand.moving)).sum(),
        weight: eligible(claims).count() as u32,
        floor: SHIFT_FLOOR,
    };
    for claim in claims.iter_mut().filter(|claim| claim.eligible) {
        claim.shift.target = goal.part(claim.demand.moving, 1);
    }
}

fn eligible(claims: &[Claim]) -> impl Iterator<Item = &Claim> {
    claims.iter().filter(|claim| claim.eligible)
}

impl Claim {
    fn weight(&self, region: usize) -> u32 {
        if usize::from(self.region) == region { HOME_WEIGHT } else { 1 }
    }
}

/// What all claims on one cap sum to.
struct Goal {
    demand: u64,
    weight: u32,
    floor: u32,
}

impl Goal {
    fn part(&self, demand: u32, weight: u32) -> u32 {
        let floor = if self.demand == 0 { SHARE_SCALE } else { self.floor };
        let even = proportion(floor, weight, u64::from(self.weight));
        even + proportion(SHARE_SCALE - floor, demand, self.demand)
    }
}

fn proportion(units: u32, part: u32, total: u64) -> u32 {
    match total {
        0 => 0,
        _ => (u64::from(units) * u64::from(part) / total) as u32,
    }
}

/// Shares out what no VM holds, in proportion to what each still wants.
fn grant(claims: &[Claim], regions: usize) -> Vec<Allocation> {
    let pool = |region: usize| Pool::new(claims.iter().map(move |claim| claim.regions[region]));
    let pools: Vec<Pool> = (0..regions).map(pool).collect();
    let shifts = Pool::new(claims.iter().map(|claim| claim.shift));
    let member = |claim: &Claim| {
        let parts = claim.regions.iter().zip(&pools);
        Allocation {
            vm: Arc::clone(&claim.vm),
            regions: parts.map(|(part, pool)| pool.grown(part)).collect(),
            shift: shifts.grown(&claim.shift),
        }
    };
    claims.iter().map(member).filter(holds_something).collect()
}

fn holds_something(member: &Allocation) -> bool {
    member.shift.held() > 0 || member.regions.iter().any(|units| units.held() > 0)
}

/// What is free of one cap and how much of it is wanted.
struct Pool {
    free: u32,
    wanted: u64,
}

impl Pool {
    fn new<Parts>(parts: Parts) -> Pool
    where
        Parts: Iterator<Item = Part> + Clone,
    {
        let held: u64 = parts.clone().map(|part| u64::from(part.base)).sum();
        let wanted = parts.map(|part| u64::from(part.want())).sum();
        Pool { free: u64::from(SHARE_SCALE).saturating_sub(held) as u32, wanted }
    }

    fn grown(&self, part: &Part) -> Allotment {
        let grant = match self.wanted <= u64::from(self.free) {
            true => part.want(),
            false => proportion(self.free, part.want(), self.wanted),
        };
        part.grown(grant)
    }
}
