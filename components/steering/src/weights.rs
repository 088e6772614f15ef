//! Computes the split of traffic between regions from the preset and the drains.

use crate::geography::delay;
use crate::share::undrained_domains;
use crate::{SHARE_SCALE, Split};
use clock::Millis;
use settings::{Deployment, Drain, Preset, Site};

/// The part of all traffic that each region should serve at `at`, given the drains.
///
/// Regions without a share in the preset divide the rest by capacity. A region with drained failure
/// domains is reduced in proportion to them. The weights sum to [`SHARE_SCALE`].
pub fn weights(deployment: &Deployment, preset: &Preset, drains: &[Drain], at: Millis) -> Vec<u32> {
    let declared: Vec<f64> = declared_shares(deployment, preset);
    let reduce = |(number, share): (usize, &f64)| {
        let region = &deployment.regions[number];
        let undrained = undrained_domains(drains, region, at);
        share * undrained as f64 / region.domains.len().max(1) as f64
    };
    let reduced: Vec<f64> = declared.iter().enumerate().map(reduce).collect();
    let shares = if reduced.iter().sum::<f64>() > 0.0 { &reduced } else { &declared };
    normalize(shares)
}

/// The split that gives each region its weight and serves blocks as near to home as possible.
///
/// Every home region serves as many of its own blocks as its weight allows; the rest goes over the
/// links with the least delay first. With three regions no other split for the same weights has
/// less delay.
pub fn split(deployment: &Deployment, weights: &[u32]) -> Split {
    let home_parts = home_parts(deployment);
    let count = weights.len();
    let mut flows = vec![vec![0u32; count]; count];
    let mut unassigned = home_parts.clone();
    let mut free = weights.to_vec();
    for pair in pairs_by_delay(deployment) {
        let flow = unassigned[pair.home].min(free[pair.region]);
        flows[pair.home][pair.region] = flow;
        unassigned[pair.home] -= flow;
        free[pair.region] -= flow;
    }
    let row = |(home, flows): (usize, &Vec<u32>)| match home_parts[home] {
        0 => weights.to_vec(),
        _ => normalize(&flows.iter().map(|flow| f64::from(*flow)).collect::<Vec<_>>()),
    };
    Split { rows: flows.iter().enumerate().map(row).collect() }
}

/// A home region and a region that may serve its blocks.
struct Pair {
    home: usize,
    region: usize,
    delay: Millis,
}

fn pairs_by_delay(deployment: &Deployment) -> Vec<Pair> {
    let regions = &deployment.regions;
    let numbers = 0..regions.len();
    let pair = |home: usize, region: usize| {
        let delay = delay(deployment, &regions[home].name, &regions[region].name);
        Pair { home, region, delay }
    };
    let pairs = numbers.clone().flat_map(|home| numbers.clone().map(move |to| pair(home, to)));
    let mut pairs: Vec<Pair> = pairs.collect();
    pairs.sort_by_key(|pair| (pair.delay, pair.home, pair.region));
    pairs
}

/// The part of all addresses whose home is each region, in units of [`SHARE_SCALE`].
fn home_parts(deployment: &Deployment) -> Vec<u32> {
    let blocks = |site: &Site| -> f64 {
        let counts = site.blocks.iter().map(|range| f64::from(range.last - range.first) + 1.0);
        counts.sum()
    };
    let count = |name: &str| -> f64 {
        let sites = deployment.sites.iter().filter(|site| &*site.region == name);
        sites.map(blocks).sum()
    };
    let counts = deployment.regions.iter().map(|region| count(&region.name));
    normalize(&counts.collect::<Vec<_>>())
}

fn declared_shares(deployment: &Deployment, preset: &Preset) -> Vec<f64> {
    let declared = |name: &str| {
        let share = preset.shares.iter().find(|share| &*share.region == name);
        share.map(|share| share.share.max(0.0))
    };
    let regions = deployment.regions.iter();
    let declared_sum: f64 = regions.clone().filter_map(|region| declared(&region.name)).sum();
    let others = regions.clone().filter(|region| declared(&region.name).is_none());
    let other_capacity: f64 = others.map(|region| f64::from(region.capacity)).sum();
    let rest = (1.0 - declared_sum).max(0.0);
    let share = |region: &settings::Region| {
        declared(&region.name).unwrap_or_else(|| rest * f64::from(region.capacity) / other_capacity)
    };
    regions.map(share).collect()
}

/// Scales `parts` to integers that sum to [`SHARE_SCALE`]; the largest absorbs the rounding error.
fn normalize(parts: &[f64]) -> Vec<u32> {
    let sum: f64 = parts.iter().sum();
    let units = |part: &f64| (part / sum * f64::from(SHARE_SCALE)).round() as u32;
    let mut units: Vec<u32> = match sum > 0.0 {
        true => parts.iter().map(units).collect(),
        false => vec![SHARE_SCALE / parts.len().max(1) as u32; parts.len()],
    };
    let total: u32 = units.iter().sum();
    if let Some(largest) = units.iter_mut().max() {
        *largest = *largest + SHARE_SCALE - total;
    }
    units
}
