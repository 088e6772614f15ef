use super::{Bucket, Demand, Limit};
use clock::Millis;

/// Weight of the latest demand in its estimate, by the number of requests that it is taken from:
/// few requests tell little.
const MIN_WEIGHT: f64 = 0.05;
const MAX_WEIGHT: f64 = 0.5;
const FULL_COUNT: f64 = 16.0;
/// Demand is reported when it changed by this part, or by [`MIN_CHANGE`].
const CHANGE_PART: f64 = 0.15;
const MIN_CHANGE: f64 = 0.1;

/// An account at one VM.
#[derive(Debug)]
pub struct Entry {
    pub limit: Limit,
    pub bucket: Bucket,
    pub share: u32,
    pub sequence: u32,
    /// Requests since the last regular report.
    pub count: u32,
    pub demand: f64,
    pub reported_demand: f64,
    pub waiting: u32,
    /// Tokens of the reserve that no request has used yet, and until when they may be used.
    pub spare: u32,
    pub spare_until: Millis,
    /// Until when the reserve has no token.
    pub dry_until: Millis,
}

impl Entry {
    /// An account of which nothing is held.
    pub fn new(limit: Limit, now: Millis) -> Entry {
        Entry {
            limit,
            bucket: Bucket::new(now),
            share: 0,
            sequence: 0,
            count: 0,
            demand: 0.0,
            reported_demand: 0.0,
            waiting: 0,
            spare: 0,
            spare_until: Millis::ZERO,
            dry_until: Millis::ZERO,
        }
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self, now: Millis) -> bool {
        if self.bucket.take(1, now) == 1 {
            return true;
        }
        let has_spare = self.spare > 0 && now < self.spare_until;
        self.spare = if has_spare { self.spare - 1 } else { 0 };
        has_spare
    }

    /// Keeps tokens of the reserve that may be used until `until`.
    pub fn keep(&mut self, count: u32, until: Millis, now: Millis) {
        if self.spare > 0 && now < self.spare_until {
            self.spare += count;
            self.spare_until = self.spare_until.min(until);
        } else {
            (self.spare, self.spare_until) = (count, until);
        }
    }

    /// Renews the estimate of demand after `span` seconds.
    pub fn estimate(&mut self, span: f64) {
        let count = f64::from(std::mem::take(&mut self.count));
        let weight = (count.max(self.demand * span) / FULL_COUNT).clamp(MIN_WEIGHT, MAX_WEIGHT);
        self.demand += (count / span - self.demand) * weight;
        if self.demand < MIN_CHANGE / 4.0 {
            self.demand = 0.0;
        }
    }

    /// What there is to report; all demand if the coordinator doesn't know this VM.
    pub fn demand(&mut self, key: u64, is_known: bool) -> Option<Demand> {
        let change = (self.demand - self.reported_demand).abs();
        let limit = (self.reported_demand * CHANGE_PART).max(MIN_CHANGE);
        let has_changed = change > limit || (self.demand == 0.0 && self.reported_demand > 0.0);
        let is_unknown = !is_known && self.demand > 0.0;
        let waiting = std::mem::take(&mut self.waiting);
        if waiting == 0 && !has_changed && !is_unknown {
            return None;
        }
        self.reported_demand = self.demand;
        Some(Demand { key, rate: self.demand as f32, waiting })
    }
}
