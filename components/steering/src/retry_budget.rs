//! The budget of repeated requests that all VMs share without talking.
//!
//! Each VM spends its part: a ratio of the requests that it handled itself, and an equal share of
//! the fixed allowance. A VM that has just started doesn't know what its predecessor spent and
//! gets no part of the allowance for one window. See docs/DATAPATH.md, "Repeats".

use clock::Millis;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Part of the allowance that is spent; the rest covers VMs that disagree on the fleet's size.
const ALLOWANCE_USED: f64 = 0.6;
/// Part of the ratio that is spent; the rest covers arrivals that cross a window's edge.
const RATIO_USED: f64 = 0.75;
const BUCKET: Millis = Millis(500);

/// What is allowed for each service, over all VMs.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Repeats per request.
    pub ratio: f64,
    /// The window in which both are counted.
    pub window: Millis,
    /// Repeats that are allowed beside the ratio.
    pub allowance: f64,
}

/// This VM's part of the budget of every service.
#[derive(Debug)]
pub struct Budget {
    limits: Limits,
    started: Millis,
    services: HashMap<Arc<str>, VecDeque<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    start: Millis,
    requests: u32,
    repeats: u32,
}

impl Budget {
    /// A budget that starts at `now`.
    pub fn new(limits: Limits, now: Millis) -> Budget {
        Budget { limits, started: now, services: HashMap::new() }
    }

    /// Counts a caller's request for `service`.
    pub fn record_request(&mut self, service: &Arc<str>, now: Millis) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one repeat for `service` out of the part of one of `vms`, if there is one.
    pub fn spend(&mut self, service: &Arc<str>, vms: usize, now: Millis) -> bool {
        let window = self.limits.window;
        self.bucket(service, now);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = match now < self.started + window {
            true => 0.0,
            false => self.limits.allowance * ALLOWANCE_USED / vms.max(1) as f64,
        };
        let allowed = f64::from(requests) * self.limits.ratio * RATIO_USED + share;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.bucket(service, now).repeats += 1;
        true
    }

    fn bucket(&mut self, service: &Arc<str>, now: Millis) -> &mut Bucket {
        let window = self.limits.window;
        let buckets = self.services.entry(Arc::clone(service)).or_default();
        while buckets.front().is_some_and(|bucket| bucket.start + window <= now) {
            buckets.pop_front();
        }
        let fresh = buckets.back().is_none_or(|bucket| bucket.start + BUCKET <= now);
        if fresh {
            buckets.push_back(Bucket { start: now, requests: 0, repeats: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
