//! The shares of the members: what each may use, and what it may still believe it holds.
//!
//! For every cap the held parts sum to at most [`WHOLE`], whatever plan each node holds: a share
//! grows only out of what no node holds. See docs/LIMITS.md.

use crate::planner::{Demand, Report};
use crate::{Member, Plan, State, Units, WHOLE};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The part of every cap, in units of [`WHOLE`], that is split by the number of members alone, so
/// that a VM without demand so far can serve its first requests.
const FLOOR: u32 = WHOLE / 10;

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
    home: Part,
    away: Part,
    shift: Part,
}

/// One of the three shares of a claim.
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
    fn of(units: Units, acknowledged: bool) -> Part {
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

    fn grown(&self, grant: u32) -> Units {
        let share = self.target.min(self.base + grant);
        Units { share, extra: self.base.saturating_sub(share) }
    }
}

/// The members of the plan that follows `old`, or `None` if the shares may stay as they are.
pub(crate) fn allot(old: &Plan, reports: &[Report], regions: usize) -> Option<Vec<Member>> {
    let mut claims = claims(old, reports);
    set_targets(&mut claims, regions);
    let gone = old.members.iter().any(|member| !claims.iter().any(|claim| claim.vm == member.vm));
    let moved = |claim: &Claim| old.member(&claim.vm).is_some_and(|old| old.region != claim.region);
    let off = |claim: &Claim| {
        claim.home.is_off() || claim.away.is_off() || claim.shift.is_off() || moved(claim)
    };
    if !gone && !claims.iter().any(off) {
        return None;
    }
    let members = grant(&claims, regions);
    (members != old.members).then_some(members)
}

fn claims(old: &Plan, reports: &[Report]) -> Vec<Claim> {
    let sorted: BTreeMap<&Arc<str>, &Report> =
        reports.iter().map(|report| (&report.vm, report)).collect();
    sorted.into_values().map(|report| claim(old, report)).collect()
}

fn claim(old: &Plan, report: &Report) -> Claim {
    let member = old.member(&report.vm);
    let acknowledged = report.ack.is_some_and(|ack| ack.stamp >= old.stamp());
    let home = member.map_or(Units::default(), |member| member.home);
    let away = member.map_or(Units::default(), |member| member.away);
    let shift = member.map_or(Units::default(), |member| member.shift);
    let mut claim = Claim {
        vm: Arc::clone(&report.vm),
        region: report.region,
        demand: report.demand.with_bursts(),
        eligible: report.state != State::Leaving,
        home: Part::of(home, acknowledged),
        away: Part::of(away, acknowledged),
        shift: Part::of(shift, acknowledged),
    };
    if member.is_some_and(|member| member.region != report.region) {
        let most = claim.home.base.max(claim.away.base);
        claim.home.base = most;
        claim.away.base = most;
    }
    claim
}

/// Sets every target in proportion to demand, above a floor for all.
fn set_targets(claims: &mut [Claim], regions: usize) {
    let away: Vec<u32> = claims.iter().map(|claim| away_target(claims, claim, regions)).collect();
    for (claim, target) in claims.iter_mut().zip(away) {
        claim.away.target = target;
    }
    let home: Vec<u32> = claims.iter().map(|claim| home_target(claims, claim)).collect();
    for (claim, target) in claims.iter_mut().zip(home) {
        claim.home.target = target;
    }
    let shift: Vec<u32> = claims.iter().map(|claim| shift_target(claims, claim)).collect();
    for (claim, target) in claims.iter_mut().zip(shift) {
        claim.shift.target = target;
    }
}

/// What a claim may have of the shift cap into each region: the VMs that have most to move get
/// most, above an equal floor.
fn shift_target(claims: &[Claim], claim: &Claim) -> u32 {
    if !claim.eligible {
        return 0;
    }
    let eligible = claims.iter().filter(|claim| claim.eligible);
    let count = eligible.clone().count() as u32;
    let moving: u64 = eligible.map(|claim| u64::from(claim.demand.moving)).sum();
    if moving == 0 {
        return WHOLE / count;
    }
    FLOOR / count + proportion(WHOLE - FLOOR, claim.demand.moving, moving)
}

/// What a claim may have of every region but its own: the least over those regions.
fn away_target(claims: &[Claim], claim: &Claim, regions: usize) -> u32 {
    if !claim.eligible {
        return 0;
    }
    let others = (0..regions as u16).filter(|region| *region != claim.region);
    let target = |region| {
        let demand = demand_for(claims, region);
        floor_of(claims, region, 1) + proportion(WHOLE - FLOOR, claim.demand.away, demand)
    };
    others.map(target).min().unwrap_or(0)
}

/// What a claim may have of its own region: its part of all that isn't for other regions' members.
fn home_target(claims: &[Claim], claim: &Claim) -> u32 {
    if !claim.eligible {
        return 0;
    }
    let others = claims.iter().filter(|other| other.region != claim.region);
    let rest = WHOLE.saturating_sub(others.map(|other| other.away.target).sum());
    let peers = claims.iter().filter(|peer| peer.eligible && peer.region == claim.region);
    let count = peers.clone().count() as u32;
    let demand: u64 = peers.map(|peer| u64::from(peer.demand.home)).sum();
    let floor = rest.min(FLOOR);
    if demand == 0 {
        return rest / count.max(1);
    }
    floor / count.max(1) + proportion(rest - floor, claim.demand.home, demand)
}

fn demand_for(claims: &[Claim], region: u16) -> u64 {
    let demand = |claim: &Claim| match claim.region == region {
        true => u64::from(claim.demand.home),
        false => u64::from(claim.demand.away),
    };
    claims.iter().filter(|claim| claim.eligible).map(demand).sum()
}

fn floor_of(claims: &[Claim], region: u16, weight: u32) -> u32 {
    let weight_of = |claim: &Claim| if claim.region == region { HOME_WEIGHT } else { 1 };
    let total: u32 = claims.iter().filter(|claim| claim.eligible).map(weight_of).sum();
    proportion(FLOOR, weight, u64::from(total))
}

fn proportion(units: u32, part: u32, total: u64) -> u32 {
    match total {
        0 => 0,
        _ => (u64::from(units) * u64::from(part) / total) as u32,
    }
}

/// Shares out what no VM holds, in proportion to what each still wants.
fn grant(claims: &[Claim], regions: usize) -> Vec<Member> {
    let pool = |region| {
        let part = |claim: &Claim| if claim.region == region { claim.home } else { claim.away };
        Pool::new(claims.iter().map(part))
    };
    let pools: Vec<Pool> = (0..regions as u16).map(pool).collect();
    let shifts = Pool::new(claims.iter().map(|claim| claim.shift));
    let member = |claim: &Claim| {
        let here = pools.get(usize::from(claim.region));
        let home = here.map_or(0, |pool| pool.grant(claim.home.want()));
        let others = pools.iter().enumerate().filter(|(at, _)| *at != usize::from(claim.region));
        let away = others.map(|(_, pool)| pool.grant(claim.away.want())).min().unwrap_or(0);
        Member {
            vm: Arc::clone(&claim.vm),
            region: claim.region,
            home: claim.home.grown(home),
            away: claim.away.grown(away),
            shift: claim.shift.grown(shifts.grant(claim.shift.want())),
        }
    };
    claims.iter().map(member).filter(|member| !is_empty(member)).collect()
}

fn is_empty(member: &Member) -> bool {
    [member.home, member.away, member.shift].iter().all(|units| units.held() == 0)
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
        Pool { free: u64::from(WHOLE).saturating_sub(held) as u32, wanted }
    }

    fn grant(&self, want: u32) -> u32 {
        match self.wanted <= u64::from(self.free) {
            true => want,
            false => proportion(self.free, want, self.wanted),
        }
    }
}
