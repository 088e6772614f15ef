//! What one node may send by itself, from the plan and the configuration in force.
//!
//! Every node holds a part of every cap and enforces that part alone, so the sum holds under any
//! partition. See docs/LIMITS.md.

use crate::{Plan, SHARE_SCALE};
use clock::Millis;
use settings::{Deployment, Drain, Link, Preset, Region, Target};

const KBIT_PER_MBIT: f64 = 1000.0;

/// The part of a link, in units of [`SHARE_SCALE`], that is kept for requests; answers use the rest.
///
/// A link carries the requests of the members on its near end and the answers fetched by the
/// members on its far end, so the two need separate parts.
const REQUEST_PART: u32 = SHARE_SCALE / 8;

/// How long a node waits after its start before it admits anything.
///
/// It may have used up its share just before it stopped, and remembers nothing of it.
pub const START_WAIT: Millis = Millis::from_secs(1);

/// The limits of one node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// For each region, in the deployment's order.
    pub regions: Vec<RegionLimit>,
    /// For the link to each region, in the deployment's order; the node's own region is
    /// [`LinkLimit::UNLIMITED`].
    pub links: Vec<LinkLimit>,
}

/// What a node may send into a region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionLimit {
    /// Requests in any window of one second.
    pub requests: u32,
    /// Those of them that may be requests moved there by a shift.
    pub shift: u32,
}

/// What a node may carry over the link to a region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkLimit {
    /// Requests sent, in kbit in any window of one second.
    pub send_kbit: u32,
    /// Answers received, in kbit in any window of one second.
    pub receive_kbit: u32,
}

impl LinkLimit {
    /// Traffic that stays within the region.
    pub const UNLIMITED: LinkLimit = LinkLimit { send_kbit: u32::MAX, receive_kbit: u32::MAX };
}

/// The configuration from which caps are worked out.
#[derive(Clone, Copy, Debug)]
pub struct Configuration<'a> {
    /// Regions and links.
    pub deployment: &'a Deployment,
    /// The preset in force.
    pub preset: &'a Preset,
    /// Planned drains.
    pub drains: &'a [Drain],
}

/// The limits of the VM called `vm` in region `home` at `now`; all zero if the plan gives it no
/// share.
pub fn limits(plan: &Plan, caps: Configuration<'_>, vm: &str, home: &str, now: Millis) -> Limits {
    let regions = caps.deployment.regions.iter();
    let limit = |region| region_limit(plan, caps, vm, region, now);
    let units = plan.share(vm, home);
    let link = |region: &Region| link_limit(units, caps, home, &region.name);
    Limits { regions: regions.clone().map(limit).collect(), links: regions.map(link).collect() }
}

/// The most requests a second that all nodes together may send into `region` at `now`.
pub fn region_cap(caps: Configuration<'_>, region: &Region, now: Millis) -> u32 {
    let full = f64::from(region.capacity) * caps.preset.headroom;
    let left = domains_left(caps.drains, region, now);
    (full * left as f64 / region.domains.len().max(1) as f64) as u32
}

/// The most kbit a second that all nodes together may put on `link` in either direction.
pub fn link_cap(preset: &Preset, link: &Link) -> u32 {
    (f64::from(link.capacity_mbit) * KBIT_PER_MBIT * preset.headroom) as u32
}

/// The failure domains of `region` that no drain empties at `now`.
pub(crate) fn domains_left(drains: &[Drain], region: &Region, now: Millis) -> usize {
    let in_force = |drain: &&Drain| drain.start <= now && now < drain.end;
    let drained = |domain: &str| {
        drains.iter().filter(in_force).any(|drain| match &drain.target {
            Target::Domain(name) => &**name == domain,
            Target::Region(name) => *name == region.name,
            Target::Vm(_) => false,
        })
    };
    region.domains.iter().filter(|domain| !drained(domain)).count()
}

fn region_limit(
    plan: &Plan,
    caps: Configuration<'_>,
    vm: &str,
    region: &Region,
    now: Millis,
) -> RegionLimit {
    let shift = plan.allocation(vm).map_or(0, |member| member.shift.share);
    RegionLimit {
        requests: part(region_cap(caps, region, now), plan.share(vm, &region.name)),
        shift: part(caps.preset.shift_cap, shift),
    }
}

fn link_limit(units: u32, caps: Configuration<'_>, from: &str, to: &str) -> LinkLimit {
    if from == to {
        return LinkLimit::UNLIMITED;
    }
    let joins = |link: &&Link| {
        (&*link.from == to && &*link.to == from) || (&*link.to == to && &*link.from == from)
    };
    let Some(link) = caps.deployment.links.iter().find(joins) else {
        return LinkLimit::default();
    };
    let cap = link_cap(caps.preset, link);
    let requests = part(cap, REQUEST_PART);
    LinkLimit { send_kbit: part(requests, units), receive_kbit: part(cap - requests, units) }
}

/// `units` of `cap`, rounded down so that the parts never sum to more than the cap.
fn part(cap: u32, units: u32) -> u32 {
    (u64::from(cap) * u64::from(units.min(SHARE_SCALE)) / u64::from(SHARE_SCALE)) as u32
}
