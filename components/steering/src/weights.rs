//! The split of traffic between regions that a preset and the drains ask for.

use crate::geography::delay;
use crate::share::domains_left;
use crate::{SHARE_SCALE, Split};
use clock::Millis;
use settings::{Deployment, Drain, Preset, Site};

/// The part of all traffic that each region is to serve while `drains` are in force.
///
/// A region that the preset doesn't name takes its part of the rest by its capacity, and a region
/// of which domains are drained is reduced in proportion. The parts sum to [`SHARE_SCALE`].
pub fn weights(deployment: &Deployment, preset: &Preset, drains: &[Drain], at: Millis) -> Vec<u32> {
    let wanted: Vec<f64> = wanted_shares(deployment, preset);
    let left = |(number, share): (usize, &f64)| {
        let region = &deployment.regions[number];
        let left = domains_left(drains, region, at);
        share * left as f64 / region.domains.len().max(1) as f64
    };
    let open: Vec<f64> = wanted.iter().enumerate().map(left).collect();
    let usable = if open.iter().sum::<f64>() > 0.0 { &open } else { &wanted };
    normalize(usable)
}

/// The split that gives each region its weight and keeps blocks as near as that allows.
///
/// Every home region keeps what it can of its own blocks; the excess goes over the links with the
/// least delay first. With three regions no other split that meets the weights has less delay.
pub fn split(deployment: &Deployment, weights: &[u32]) -> Split {
    let masses = home_masses(deployment);
    let count = weights.len();
    let mut flows = vec![vec![0u32; count]; count];
    let mut excess = masses.clone();
    let mut room = weights.to_vec();
    for pair in pairs_by_delay(deployment) {
        let flow = excess[pair.home].min(room[pair.region]);
        flows[pair.home][pair.region] = flow;
        excess[pair.home] -= flow;
        room[pair.region] -= flow;
    }
    let row = |(home, flows): (usize, &Vec<u32>)| match masses[home] {
        0 => weights.to_vec(),
        _ => normalize(&flows.iter().map(|flow| f64::from(*flow)).collect::<Vec<_>>()),
    };
    Split { rows: flows.iter().enumerate().map(row).collect() }
}

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

/// The part of all blocks that each region is nearest to.
fn home_masses(deployment: &Deployment) -> Vec<u32> {
    let blocks = |site: &Site| -> f64 {
        let counts = site.blocks.iter().map(|range| f64::from(range.last - range.first) + 1.0);
        counts.sum()
    };
    let mass = |name: &str| -> f64 {
        let sites = deployment.sites.iter().filter(|site| &*site.region == name);
        sites.map(blocks).sum()
    };
    let masses = deployment.regions.iter().map(|region| mass(&region.name));
    normalize(&masses.collect::<Vec<_>>())
}

fn wanted_shares(deployment: &Deployment, preset: &Preset) -> Vec<f64> {
    let named = |name: &str| {
        let share = preset.shares.iter().find(|share| &*share.region == name);
        share.map(|share| share.share.max(0.0))
    };
    let regions = deployment.regions.iter();
    let taken: f64 = regions.clone().filter_map(|region| named(&region.name)).sum();
    let unnamed = regions.clone().filter(|region| named(&region.name).is_none());
    let unnamed: f64 = unnamed.map(|region| f64::from(region.capacity)).sum();
    let rest = (1.0 - taken).max(0.0);
    let share = |region: &settings::Region| {
        named(&region.name).unwrap_or_else(|| rest * f64::from(region.capacity) / unnamed)
    };
    regions.map(share).collect()
}

/// Scales `parts` to whole units that sum to [`SHARE_SCALE`]; the largest takes what rounding leaves.
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
