//! A fleet-wide retry budget that VMs divide without exchanging messages.
//!
//! Each VM spends its own part: a ratio of the requests that it handled itself, and an equal share
//! of a fixed allowance. A VM that has just started doesn't know what its previous process spent
//! and gets no part of the allowance for one window. See docs/DATAPATH.md, "Repeats".

use clock::Millis;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Fraction of the allowance that is spent; the rest covers VMs that disagree on the fleet's size.
const ALLOWANCE_USED: f64 = 0.6;
/// Fraction of the ratio that is spent; the rest covers requests at the edges of a window.
const RATIO_USED: f64 = 0.75;
/// Resolution of the sliding window.
const BUCKET_SPAN: Millis = Millis(500);

/// Retries allowed for each service, over all VMs.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Retries per request.
    pub ratio: f64,
    /// Sliding window over which requests and retries are counted.
    pub window: Millis,
    /// Retries in a window that are allowed in addition to the ratio.
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
    retries: u32,
}

impl Budget {
    /// A budget of a VM that started at `now`.
    pub fn new(limits: Limits, now: Millis) -> Budget {
        Budget { limits, started: now, services: HashMap::new() }
    }

    /// Counts a caller's request for `service`.
    pub fn record_request(&mut self, service: &Arc<str>, now: Millis) {
        self.bucket(service, now).requests += 1;
    }

    /// Takes one retry for `service` from this VM's part, as one of `vms` VMs; returns whether
    /// there was one left.
    pub fn spend(&mut self, service: &Arc<str>, vms: usize, now: Millis) -> bool {
        let window = self.limits.window;
        self.bucket(service, now);
        let buckets = &self.services[service];
        let requests: u32 = buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = buckets.iter().map(|bucket| bucket.retries).sum();
        let share = match now < self.started + window {
            true => 0.0,
            false => self.limits.allowance * ALLOWANCE_USED / vms.max(1) as f64,
        };
        let allowed = f64::from(requests) * self.limits.ratio * RATIO_USED + share;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket(service, now).retries += 1;
        true
    }

    fn bucket(&mut self, service: &Arc<str>, now: Millis) -> &mut Bucket {
        let window = self.limits.window;
        let buckets = self.services.entry(Arc::clone(service)).or_default();
        while buckets.front().is_some_and(|bucket| bucket.start + window <= now) {
            buckets.pop_front();
        }
        let needs_bucket = buckets.back().is_none_or(|bucket| bucket.start + BUCKET_SPAN <= now);
        if needs_bucket {
            buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
