//! Which region an object's requests go to, so that no region gets more work than its part of the
//! upstreams' slots.
//!
//! Upstreams lie unevenly, and callers don't know. Following overflow as it shows makes a short
//! region refuse for many seconds while the share that crosses ramps up; the slots of all
//! upstreams are known before the first request. See docs/PLACEMENT.md, "Between regions".

use crate::cross_region::WINDOW;
use clock::Millis;
use std::cell::Cell;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The part of the allowed rate of change that changed capacity uses; overflow has the rest.
const RATE_USED: f64 = 0.3;
/// Separates the hash that decides whether an object stays from those that rank other regions.
const STAY_SEED: u64 = 0x7374_6179;

/// What is known of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Its name.
    pub name: Arc<str>,
    /// The slots of the service's upstreams there.
    pub slots: f64,
    /// Its part of all callers, in any unit.
    pub demand: f64,
}

/// The parts of one region's requests that run in each region.
#[derive(Clone, Debug)]
pub struct Shares {
    own: Arc<str>,
    /// The most that all shares together move in a millisecond.
    rate: f64,
    from: Vec<(Arc<str>, f64)>,
    target: Vec<(Arc<str>, f64)>,
    /// What decides among regions that all have no share.
    slots: Vec<(Arc<str>, f64)>,
    changed: Millis,
    /// When a request was last placed.
    used: Cell<Option<Millis>>,
}

impl Shares {
    /// Everything stays in `own` until regions are known; `most` is the part of the requests that
    /// may move between two windows.
    pub fn new(own: Arc<str>, most: f64) -> Shares {
        let rate = most * RATE_USED / WINDOW.0 as f64;
        let (from, target, slots) = Default::default();
        Shares { own, rate, from, target, slots, changed: Millis::ZERO, used: Cell::default() }
    }

    /// Aims at the shares that suit `regions`. They are approached at the bounded rate, but hold at
    /// once while there is no traffic that could move: upstreams register one after the other
    /// before it starts.
    pub fn set_target(&mut self, regions: &[Region], now: Millis) {
        let target = target(&self.own, regions);
        if target == self.target {
            return;
        }
        let is_idle = self.used.get().is_none_or(|used| used + WINDOW <= now);
        self.from = if is_idle { target.clone() } else { self.current(now) };
        self.target = target;
        self.slots =
            regions.iter().map(|region| (Arc::clone(&region.name), region.slots)).collect();
        self.changed = now;
    }

    /// The share of each region now.
    pub fn current(&self, now: Millis) -> Vec<(Arc<str>, f64)> {
        let distance: f64 =
            self.target.iter().map(|(name, share)| (share - part(&self.from, name)).max(0.0)).sum();
        let elapsed = (now - self.changed).0 as f64;
        let progress = match distance > 0.0 {
            true => (elapsed * self.rate / distance).min(1.0),
            false => 1.0,
        };
        let moved = |(name, share): &(Arc<str>, f64)| {
            let from = part(&self.from, name);
            (Arc::clone(name), from + (share - from) * progress)
        };
        self.target.iter().map(moved).collect()
    }

    /// The region of `object` among the `allowed` ones; none if they have no upstream.
    pub fn region<Allowed>(&self, object: u64, allowed: Allowed, now: Millis) -> Option<Arc<str>>
    where
        Allowed: Fn(&str) -> bool,
    {
        self.used.set(Some(now));
        let allowed = |weight: &(Arc<str>, f64)| weight.1 > 0.0 && allowed(&weight.0);
        let mut weights = self.current(now);
        weights.retain(allowed);
        if weights.is_empty() {
            weights.extend(self.slots.iter().filter(|weight| allowed(weight)).cloned());
        }
        self.pick(&weights, object)
    }

    fn pick(&self, weights: &[(Arc<str>, f64)], object: u64) -> Option<Arc<str>> {
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let own = weights.iter().find(|(name, _)| *name == self.own);
        if let Some((name, weight)) = own
            && unit(STAY_SEED, object) * total < *weight
        {
            return Some(Arc::clone(name));
        }
        let score = |(name, weight): &(Arc<str>, f64)| {
            -unit(xxh3_64_with_seed(name.as_bytes(), STAY_SEED), object).ln() / weight
        };
        let others = weights.iter().filter(|(name, _)| *name != self.own);
        let best = others.min_by(|a, b| score(a).total_cmp(&score(b)));
        best.or(own).map(|(name, _)| Arc::clone(name))
    }
}

/// Own requests stay as far as the region's part of the slots covers its part of the callers; the
/// rest goes to regions with more slots than callers, by what they have to spare.
fn target(own: &str, regions: &[Region]) -> Vec<(Arc<str>, f64)> {
    let slots: f64 = regions.iter().map(|region| region.slots).sum();
    let demand: f64 = regions.iter().map(|region| region.demand).sum();
    if slots <= 0.0 || demand <= 0.0 {
        return Vec::new();
    }
    let balance = |region: &Region| region.slots / slots - region.demand / demand;
    let spare: f64 = regions.iter().map(|region| balance(region).max(0.0)).sum();
    let home = regions.iter().find(|region| *region.name == *own && region.demand > 0.0);
    let keep = home.map_or(0.0, |home| 1.0 + balance(home).min(0.0) * demand / home.demand);
    let share = |region: &Region| match (*region.name == *own, spare > 0.0) {
        (true, _) => keep,
        (false, true) => (1.0 - keep) * balance(region).max(0.0) / spare,
        (false, false) => (1.0 - keep) * region.slots / slots,
    };
    regions.iter().map(|region| (Arc::clone(&region.name), share(region))).collect()
}

fn part(shares: &[(Arc<str>, f64)], name: &str) -> f64 {
    shares.iter().find(|(known, _)| **known == *name).map_or(0.0, |(_, share)| *share)
}

/// An even number above 0 and up to 1 for `object`.
fn unit(seed: u64, object: u64) -> f64 {
    let hash = xxh3_64_with_seed(&object.to_le_bytes(), seed);
    ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64
}
