//! The upstreams of a region and the load that reaches them.

use clock::Millis;
use std::collections::{BTreeMap, VecDeque};

const SECOND: Millis = Millis::from_secs(1);

/// Counts all requests, and the requests of blocks for which the region's caches are cold.
///
/// A block is cold until one shift step after the region's first request from it. All blocks first
/// seen during the warm-up at the start are warm.
pub struct Region {
    warm_until: Millis,
    /// When each block sent its first request.
    first_requests: BTreeMap<u32, Millis>,
    all: Counter,
    cold: Counter,
    /// Requests served since the last transcript line.
    served: u32,
    changed: Option<Millis>,
    up: bool,
}

/// Requests of the last second and their peak.
#[derive(Default)]
struct Counter {
    times: VecDeque<Millis>,
    peak: usize,
}

impl Region {
    pub fn new(warm_until: Millis) -> Region {
        Region {
            warm_until,
            first_requests: BTreeMap::new(),
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
        self.first_requests.clear();
    }

    /// Whether the entry VMs observe the region as down, which they do `detect` after it changes.
    pub fn is_observed_down(&self, now: Millis, detect: Millis) -> bool {
        let detected = self.changed.is_none_or(|changed| now - changed >= detect);
        if detected { !self.up } else { self.up }
    }

    /// Serves a request; returns false if the region is down.
    pub fn receive(&mut self, block: u32, now: Millis, step: Millis) -> bool {
        if !self.up {
            return false;
        }
        self.all.count(now);
        self.served += 1;
        let first = *self.first_requests.entry(block).or_insert(now);
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
