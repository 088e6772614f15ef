//! Divides every cap into shares for the entry VMs.
//!
//! For every cap the shares in use sum to at most [`SHARE_SCALE`], whatever plan each VM holds: a
//! share grows only by units that no VM holds under any plan. See docs/LIMITS.md.

use crate::planner::{Demand, Report};
use crate::{Allocation, Allotment, Plan, SHARE_SCALE, State};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The part of a region's cap, in units of [`SHARE_SCALE`], that is divided regardless of demand,
/// so that a VM without demand so far can serve its first requests.
const FLOOR: u32 = SHARE_SCALE / 10;

/// The part of the shift cap, in units of [`SHARE_SCALE`], that is divided equally.
///
/// It is larger than [`FLOOR`]: if a region goes down while no planner runs, VMs must move
/// traffic that had none to move when the shares were set.
const SHIFT_FLOOR: u32 = SHARE_SCALE / 2;

/// A demand of less than this part of all regions' caps says little about who will ask for the rest:
/// when callers begin, the VMs report it one after the other.
const REPRESENTATIVE_DIVISOR: u64 = 16;

/// The weight of a VM when its own region's floor is divided; VMs of other regions have weight 1.
const HOME_WEIGHT: u32 = 4;

/// Shares change only when one differs from its target by more than a tenth.
const TOLERANCE_DIVISOR: u32 = 10;

/// An entry VM with a report: its demand and its shares of all caps.
#[derive(Debug)]
struct Claim {
    vm: Arc<str>,
    region: u16,
    demand: Demand,
    /// Whether it may get shares; a leaving VM may not.
    eligible: bool,
    regions: Vec<Share>,
    shift: Share,
}

/// One VM's share of one cap, in units of [`SHARE_SCALE`].
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    /// The share in the plan in force.
    share: u32,
    /// What can't be given to another VM, because this one may use it until it acknowledges a plan
    /// that takes it away.
    held: u32,
    /// The share that fits the demand.
    target: u32,
}

impl Share {
    fn new(old: Allotment, acknowledged: bool) -> Share {
        let held = if acknowledged { old.share } else { old.held() };
        Share { share: old.share, held, target: 0 }
    }

    /// What is missing to reach the target.
    fn shortfall(&self) -> u32 {
        self.target.saturating_sub(self.held)
    }

    fn is_off_target(&self) -> bool {
        let difference = self.share.abs_diff(self.target);
        difference > self.share.max(self.target) / TOLERANCE_DIVISOR
    }

    /// The new allotment when `grant` free units are added.
    fn with_grant(&self, grant: u32) -> Allotment {
        let share = self.target.min(self.held + grant);
        Allotment { share, extra: self.held.saturating_sub(share) }
    }
}

/// The allocations of the plan that follows `old`, or `None` if the shares needn't change. `caps`
/// are the requests a second that all VMs together may send into each region.
pub(crate) fn allot(old: &Plan, reports: &[Report], caps: &[u32]) -> Option<Vec<Allocation>> {
    let regions = caps.len();
    let mut claims = claims(old, reports, regions);
    set_targets(&mut claims, caps);
    let gone = old.members.iter().any(|member| !claims.iter().any(|claim| claim.vm == member.vm));
    let off_target = |claim: &Claim| {
        claim.shift.is_off_target() || claim.regions.iter().any(Share::is_off_target)
    };
    if !gone && !claims.iter().any(off_target) {
        return None;
    }
    let members = distribute(&claims, regions);
    (members != old.members).then_some(members)
}

fn claims(old: &Plan, reports: &[Report], regions: usize) -> Vec<Claim> {
    let sorted: BTreeMap<&Arc<str>, &Report> =
        reports.iter().map(|report| (&report.vm, report)).collect();
    sorted.into_values().map(|report| claim(old, report, regions)).collect()
}

fn claim(old: &Plan, report: &Report, regions: usize) -> Claim {
    let allocation = old.allocation(&report.vm);
    let acknowledged = report.ack.is_some_and(|ack| ack.stamp >= old.stamp());
    let old_share =
        |region: usize| allocation.map_or(Allotment::default(), |old| old.allotment(region));
    let shift = allocation.map_or(Allotment::default(), |old| old.shift);
    Claim {
        vm: Arc::clone(&report.vm),
        region: report.region,
        demand: report.demand.with_bursts(),
        eligible: report.state != State::Leaving,
        regions: (0..regions).map(|region| Share::new(old_share(region), acknowledged)).collect(),
        shift: Share::new(shift, acknowledged),
    }
}

/// Sets every target: a part of what is divided by weight, plus one of what is divided by demand.
fn set_targets(claims: &mut [Claim], caps: &[u32]) {
    let demand = |claims: &[Claim], region| {
        eligible(claims).map(|claim| u64::from(claim.demand.region(region))).sum::<u64>()
    };
    let total = (0..caps.len()).map(|region| demand(claims, region)).sum();
    let asked = asked(total, caps.iter().map(|cap| u64::from(*cap)).sum());
    for region in 0..caps.len() {
        let demand = demand(claims, region);
        let totals = Totals {
            demand,
            weight: eligible(claims).map(|claim| claim.weight(region)).sum(),
            asked: if demand == 0 { 0 } else { asked },
        };
        for claim in claims.iter_mut().filter(|claim| claim.eligible) {
            let target = totals.target(claim.demand.region(region), claim.weight(region));
            claim.regions[region].target = target;
        }
    }
    let demand: u64 = eligible(claims).map(|claim| u64::from(claim.demand.moving)).sum();
    let totals = Totals {
        demand,
        weight: eligible(claims).count() as u32,
        asked: if demand == 0 { 0 } else { SHARE_SCALE - SHIFT_FLOOR },
    };
    for claim in claims.iter_mut().filter(|claim| claim.eligible) {
        claim.shift.target = totals.target(claim.demand.moving, 1);
    }
}

fn eligible(claims: &[Claim]) -> impl Iterator<Item = &Claim> {
    claims.iter().filter(|claim| claim.eligible)
}

impl Claim {
    /// The VM's weight when the floor of `region` is divided.
    fn weight(&self, region: usize) -> u32 {
        if usize::from(self.region) == region { HOME_WEIGHT } else { 1 }
    }
}

/// The part of every region's cap that is divided by demand where there is some, in units of
/// [`SHARE_SCALE`]. `demand` and `caps` are sums over all regions, in requests a second.
fn asked(demand: u64, caps: u64) -> u32 {
    let rest = SHARE_SCALE - FLOOR;
    let representative = caps / REPRESENTATIVE_DIVISOR;
    match demand < representative {
        true => (u64::from(rest) * demand / representative) as u32,
        false => rest,
    }
}

/// The sums over all eligible VMs for one cap.
struct Totals {
    demand: u64,
    weight: u32,
    /// The part of the cap that is divided by demand, in units of [`SHARE_SCALE`]. The rest is divided
    /// by weight.
    asked: u32,
}

impl Totals {
    /// The target of a VM with this demand and weight.
    fn target(&self, demand: u32, weight: u32) -> u32 {
        let rest = proportion(SHARE_SCALE - self.asked, weight, u64::from(self.weight));
        rest + proportion(self.asked, demand, self.demand)
    }
}

/// `units * part / total`, rounded down; zero if `total` is zero.
fn proportion(units: u32, part: u32, total: u64) -> u32 {
    match total {
        0 => 0,
        _ => (u64::from(units) * u64::from(part) / total) as u32,
    }
}

/// Gives the units that no VM holds to the VMs below their targets, in proportion to what each
/// is missing.
fn distribute(claims: &[Claim], regions: usize) -> Vec<Allocation> {
    let pool = |region: usize| Pool::new(claims.iter().map(move |claim| claim.regions[region]));
    let pools: Vec<Pool> = (0..regions).map(pool).collect();
    let shift_pool = Pool::new(claims.iter().map(|claim| claim.shift));
    let allocation = |claim: &Claim| {
        let shares = claim.regions.iter().zip(&pools);
        Allocation {
            vm: Arc::clone(&claim.vm),
            regions: shares.map(|(share, pool)| pool.grow(share)).collect(),
            shift: shift_pool.grow(&claim.shift),
        }
    };
    claims.iter().map(allocation).filter(holds_share).collect()
}

fn holds_share(allocation: &Allocation) -> bool {
    allocation.shift.held() > 0 || allocation.regions.iter().any(|share| share.held() > 0)
}

/// The units of one cap that no VM holds, and the sum of all shortfalls.
struct Pool {
    free: u32,
    shortfall: u64,
}

impl Pool {
    fn new<Shares>(shares: Shares) -> Pool
    where
        Shares: Iterator<Item = Share> + Clone,
    {
        let held: u64 = shares.clone().map(|share| u64::from(share.held)).sum();
        let shortfall = shares.map(|share| u64::from(share.shortfall())).sum();
        Pool { free: u64::from(SHARE_SCALE).saturating_sub(held) as u32, shortfall }
    }

    /// The new allotment of `share` with its part of the free units.
    fn grow(&self, share: &Share) -> Allotment {
        let grant = match self.shortfall <= u64::from(self.free) {
            true => share.shortfall(),
            false => proportion(self.free, share.shortfall(), self.shortfall),
        };
        share.with_grant(grant)
    }
}
