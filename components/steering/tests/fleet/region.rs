//! The upstreams of a region, as they see their own load.

use clock::Millis;
use std::collections::{BTreeMap, VecDeque};

const SECOND: Millis = Millis::from_secs(1);

/// Counts requests, and those of blocks that the region's caches don't know yet.
///
/// A block is cold until a shift step after the region's first request of it. All blocks that come
/// during the warm-up at the start are warm.
pub struct Region {
    warm_until: Millis,
    known: BTreeMap<u32, Millis>,
    all: Counter,
    cold: Counter,
    served: u32,
    changed: Option<Millis>,
    up: bool,
}

#[derive(Default)]
struct Counter {
    times: VecDeque<Millis>,
    peak: usize,
}

impl Region {
    pub fn new(warm_until: Millis) -> Region {
        Region {
            warm_until,
            known: BTreeMap::new(),
            all: Counter::default(),
            cold: Counter::default(),
            served: 0,
            changed: None,
            up: true,
        }
    }

    pub fn set_up(&mut self, up: bool, now: Millis) {
        self.up = up;
        self.changed = Some(now);
        self.known.clear();
    }

    /// Whether the nodes know by now that the region is down.
    pub fn is_down_since(&self, now: Millis, detect: Millis) -> bool {
        let settled = self.changed.is_none_or(|changed| now - changed >= detect);
        if settled { !self.up } else { self.up }
    }

    /// Takes a request; false if the region is down.
    pub fn receive(&mut self, block: u32, now: Millis, step: Millis) -> bool {
        if !self.up {
            return false;
        }
        self.all.count(now);
        self.served += 1;
        let first = *self.known.entry(block).or_insert(now);
        if first >= self.warm_until && now - first < step {
            self.cold.count(now);
        }
        true
    }

    pub fn peak(&self) -> usize {
        self.all.peak
    }

    pub fn cold_peak(&self) -> usize {
        self.cold.peak
    }

    pub fn take_served(&mut self) -> u32 {
        std::mem::take(&mut self.served)
    }
}

impl Counter {
    fn count(&mut self, now: Millis) {
        while self.times.front().is_some_and(|time| now - *time >= SECOND) {
            self.times.pop_front();
        }
        self.times.push_back(now);
        self.peak = self.peak.max(self.times.len());
    }
}
