//! Computes one VM's limits from the plan and the configuration in force.
//!
//! Every VM has a share of every cap and enforces it by itself, so the caps hold under any
//! partition. See docs/LIMITS.md.

use crate::{Plan, SHARE_SCALE};
use clock::Millis;
use settings::{Deployment, Drain, Link, Preset, Region, Target};

const KBIT_PER_MBIT: f64 = 1000.0;

/// The part of a link's cap, in units of [`SHARE_SCALE`], for requests; the rest is for responses.
///
/// In one direction a link carries requests sent by the VMs at its near end and responses received
/// by the VMs at its far end, so the two need separate parts.
const REQUEST_PART: u32 = SHARE_SCALE / 8;

/// How long a VM admits nothing after its start.
///
/// It may have used up its share just before it stopped and keeps no record of that.
pub const START_WAIT: Millis = Millis::from_secs(1);

/// The limits of one VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// The limits into each region, in the deployment's order.
    pub regions: Vec<RegionLimit>,
    /// The limits of the link to each region, in the deployment's order;
    /// [`LinkLimit::UNLIMITED`] for the VM's own region.
    pub links: Vec<LinkLimit>,
}

/// What a VM may send into a region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionLimit {
    /// Requests in any window of one second.
    pub requests: u32,
    /// Requests among them that a shift moves there, in any window of one second.
    pub shift: u32,
}

/// What a VM may transfer over the link to a region.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkLimit {
    /// Requests sent, in kbit in any window of one second.
    pub send_kbit: u32,
    /// Responses received, in kbit in any window of one second.
    pub receive_kbit: u32,
}

impl LinkLimit {
    /// The limit for traffic within the VM's own region.
    pub const UNLIMITED: LinkLimit = LinkLimit { send_kbit: u32::MAX, receive_kbit: u32::MAX };
}

/// The part of the configuration that caps are computed from.
#[derive(Clone, Copy, Debug)]
pub struct Configuration<'a> {
    /// Regions and links.
    pub deployment: &'a Deployment,
    /// The preset in force.
    pub preset: &'a Preset,
    /// Planned drains.
    pub drains: &'a [Drain],
}

/// The limits of the VM `vm` in region `own_region` at `now`.
///
/// If the plan gives the VM no share, all limits are zero, apart from the unlimited traffic within
/// its own region.
pub fn limits(
    plan: &Plan,
    configuration: Configuration<'_>,
    vm: &str,
    own_region: &str,
    now: Millis,
) -> Limits {
    let regions = configuration.deployment.regions.iter();
    let limit = |region| region_limit(plan, configuration, vm, region, now);
    let share = plan.share(vm, own_region);
    let link = |region: &Region| link_limit(share, configuration, own_region, &region.name);
    Limits { regions: regions.clone().map(limit).collect(), links: regions.map(link).collect() }
}

/// The most requests a second that all VMs together may send into `region` at `now`.
pub fn region_cap(configuration: Configuration<'_>, region: &Region, now: Millis) -> u32 {
    let full = f64::from(region.capacity) * configuration.preset.headroom;
    let undrained = undrained_domains(configuration.drains, region, now);
    (full * undrained as f64 / region.domains.len().max(1) as f64) as u32
}

/// The most kbit a second that all VMs together may send over `link` in each direction.
pub fn link_cap(preset: &Preset, link: &Link) -> u32 {
    (f64::from(link.capacity_mbit) * KBIT_PER_MBIT * preset.headroom) as u32
}

/// The number of failure domains of `region` that aren't drained at `now`.
pub(crate) fn undrained_domains(drains: &[Drain], region: &Region, now: Millis) -> usize {
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
    configuration: Configuration<'_>,
    vm: &str,
    region: &Region,
    now: Millis,
) -> RegionLimit {
    let shift = plan.allocation(vm).map_or(0, |allocation| allocation.shift.share);
    RegionLimit {
        requests: part(region_cap(configuration, region, now), plan.share(vm, &region.name)),
        shift: part(configuration.preset.shift_cap, shift),
    }
}

fn link_limit(share: u32, configuration: Configuration<'_>, from: &str, to: &str) -> LinkLimit {
    if from == to {
        return LinkLimit::UNLIMITED;
    }
    let joins = |link: &&Link| {
        (&*link.from == to && &*link.to == from) || (&*link.to == to && &*link.from == from)
    };
    let Some(link) = configuration.deployment.links.iter().find(joins) else {
        return LinkLimit::default();
    };
    let cap = link_cap(configuration.preset, link);
    let requests = part(cap, REQUEST_PART);
    LinkLimit { send_kbit: part(requests, share), receive_kbit: part(cap - requests, share) }
}

/// The `share` of `cap`, rounded down so that all shares never sum to more than the cap.
fn part(cap: u32, share: u32) -> u32 {
    (u64::from(cap) * u64::from(share.min(SHARE_SCALE)) / u64::from(SHARE_SCALE)) as u32
}
