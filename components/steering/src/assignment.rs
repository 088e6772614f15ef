//! Assigns objects to regions so that each region's load matches its share of the upstreams' slots.
//!
//! Upstreams are unevenly distributed over the regions, and callers don't know that. Reacting to
//! overflow alone would make a region with few slots refuse requests for many seconds, until enough
//! of them may cross to other regions; the slots of all upstreams are known before the first
//! request. See docs/PLACEMENT.md, "Between regions".

use crate::cross_region::WINDOW;
use clock::Millis;
use std::cell::Cell;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of the allowed rate of change for changes of capacity; overflow has the rest.
const RATE_USED: f64 = 0.3;
/// Makes the hash that decides whether an object stays independent of those that rank regions.
const STAY_SEED: u64 = 0x7374_6179;

/// A region's capacity and demand for one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// The name.
    pub name: Arc<str>,
    /// Total slots of the service's upstreams there.
    pub slots: f64,
    /// Number of callers there, in any unit.
    pub demand: f64,
}

/// The fractions of one region's requests that run in each region.
#[derive(Clone, Debug)]
pub struct Shares {
    own: Arc<str>,
    /// Largest change of all shares together in a millisecond.
    rate: f64,
    /// Shares at the last change of the target.
    from: Vec<(Arc<str>, f64)>,
    target: Vec<(Arc<str>, f64)>,
    /// Slots of each region: the weights used if no allowed region has a share.
    slots: Vec<(Arc<str>, f64)>,
    /// When the target last changed.
    changed: Millis,
    /// When a request was last placed.
    last_placed: Cell<Option<Millis>>,
}

impl Shares {
    /// Shares of the requests of region `own`. Of these, at most the fraction `max_shift` may move
    /// between two windows. Regions are unknown until the first [`Shares::set_target`].
    pub fn new(own: Arc<str>, max_shift: f64) -> Shares {
        let rate = max_shift * RATE_USED / WINDOW.0 as f64;
        let (from, target, slots) = Default::default();
        Shares {
            own,
            rate,
            from,
            target,
            slots,
            changed: Millis::ZERO,
            last_placed: Cell::default(),
        }
    }

    /// Sets the target shares by the slots and demand of `regions`. The shares move there at the
    /// bounded rate, or at once if no request was placed within the last window: upstreams register
    /// one after the other before traffic starts.
    pub fn set_target(&mut self, regions: &[Region], now: Millis) {
        let target = target_shares(&self.own, regions);
        if target == self.target {
            return;
        }
        let is_idle = self.last_placed.get().is_none_or(|last_placed| last_placed + WINDOW <= now);
        self.from = if is_idle { target.clone() } else { self.current(now) };
        self.target = target;
        self.slots =
            regions.iter().map(|region| (Arc::clone(&region.name), region.slots)).collect();
        self.changed = now;
    }

    /// The share of each region at `now`.
    pub fn current(&self, now: Millis) -> Vec<(Arc<str>, f64)> {
        let to_move: f64 = self
            .target
            .iter()
            .map(|(name, share)| (share - share_of(&self.from, name)).max(0.0))
            .sum();
        let elapsed = (now - self.changed).0 as f64;
        let progress = match to_move > 0.0 {
            true => (elapsed * self.rate / to_move).min(1.0),
            false => 1.0,
        };
        let moved = |(name, share): &(Arc<str>, f64)| {
            let from = share_of(&self.from, name);
            (Arc::clone(name), from + (share - from) * progress)
        };
        self.target.iter().map(moved).collect()
    }

    /// The region of `object` among the `allowed` ones; `None` if none of them has an upstream or
    /// no region is known yet.
    pub fn region<Allowed>(&self, object: u64, allowed: Allowed, now: Millis) -> Option<Arc<str>>
    where
        Allowed: Fn(&str) -> bool,
    {
        self.last_placed.set(Some(now));
        let allowed = |weight: &(Arc<str>, f64)| weight.1 > 0.0 && allowed(&weight.0);
        let mut weights = self.current(now);
        weights.retain(allowed);
        if weights.is_empty() {
            weights.extend(self.slots.iter().filter(|weight| allowed(weight)).cloned());
        }
        self.pick(&weights, object)
    }

    /// An object stays in the own region by a hash; otherwise weighted rendezvous hashing ranks the
    /// other regions.
    fn pick(&self, weights: &[(Arc<str>, f64)], object: u64) -> Option<Arc<str>> {
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let own = weights.iter().find(|(name, _)| *name == self.own);
        if let Some((name, weight)) = own
            && uniform(STAY_SEED, object) * total < *weight
        {
            return Some(Arc::clone(name));
        }
        let score = |(name, weight): &(Arc<str>, f64)| {
            -uniform(xxh3_64_with_seed(name.as_bytes(), STAY_SEED), object).ln() / weight
        };
        let others = weights.iter().filter(|(name, _)| *name != self.own);
        let best = others.min_by(|a, b| score(a).total_cmp(&score(b)));
        best.or(own).map(|(name, _)| Arc::clone(name))
    }
}

/// A region keeps its own requests as far as its share of the slots covers its share of the
/// callers. The rest goes to the regions with a larger share of slots than of callers, in
/// proportion to the difference.
fn target_shares(own: &str, regions: &[Region]) -> Vec<(Arc<str>, f64)> {
    let slots: f64 = regions.iter().map(|region| region.slots).sum();
    let demand: f64 = regions.iter().map(|region| region.demand).sum();
    if slots <= 0.0 || demand <= 0.0 {
        return Vec::new();
    }
    let balance = |region: &Region| region.slots / slots - region.demand / demand;
    let surplus: f64 = regions.iter().map(|region| balance(region).max(0.0)).sum();
    let own_region = regions.iter().find(|region| *region.name == *own && region.demand > 0.0);
    let kept = own_region
        .map_or(0.0, |own_region| 1.0 + balance(own_region).min(0.0) * demand / own_region.demand);
    let share = |region: &Region| match (*region.name == *own, surplus > 0.0) {
        (true, _) => kept,
        (false, true) => (1.0 - kept) * balance(region).max(0.0) / surplus,
        (false, false) => (1.0 - kept) * region.slots / slots,
    };
    regions.iter().map(|region| (Arc::clone(&region.name), share(region))).collect()
}

fn share_of(shares: &[(Arc<str>, f64)], name: &str) -> f64 {
    shares.iter().find(|(known, _)| **known == *name).map_or(0.0, |(_, share)| *share)
}

/// A uniformly distributed number in (0, 1] for `object`.
fn uniform(seed: u64, object: u64) -> f64 {
    let hash = xxh3_64_with_seed(&object.to_le_bytes(), seed);
    ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64
}
