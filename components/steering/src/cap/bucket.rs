use super::Limit;
use clock::Millis;

/// A token bucket whose limit may change. It starts empty, and a higher limit adds no tokens.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    limit: Limit,
    level: f64,
    updated: Millis,
}

impl Bucket {
    /// An empty bucket that gets no tokens until it has a limit.
    pub fn new(now: Millis) -> Bucket {
        Bucket { limit: Limit::default(), level: 0.0, updated: now }
    }

    /// The limit in force.
    pub fn limit(&self) -> Limit {
        self.limit
    }

    /// Puts a limit in force from now on.
    pub fn set_limit(&mut self, limit: Limit, now: Millis) {
        self.refill(now);
        self.limit = limit;
        self.level = self.level.min(limit.burst);
    }

    /// Takes up to `count` whole tokens; returns how many.
    pub fn take(&mut self, count: u32, now: Millis) -> u32 {
        self.refill(now);
        let taken = f64::from(count).min(self.level.floor());
        self.level -= taken;
        taken as u32
    }

    /// Takes the whole tokens of a part of the bucket, 0 to 1; returns how many.
    pub fn take_part(&mut self, part: f64, now: Millis) -> u32 {
        self.refill(now);
        let taken = (self.level * part.clamp(0.0, 1.0)).floor();
        self.level -= taken;
        taken as u32
    }

    /// Adds tokens that were taken from another bucket.
    pub fn add(&mut self, count: u32, now: Millis) {
        self.refill(now);
        self.level = (self.level + f64::from(count)).min(self.limit.burst);
    }

    /// Time until there are `count` tokens; `None` if that many never are.
    pub fn time_until(&self, count: f64) -> Option<Millis> {
        let missing = (count - self.level).max(0.0);
        let is_reachable = count <= self.limit.burst && self.limit.rate > 0.0;
        is_reachable.then(|| Millis((missing / self.limit.rate * 1000.0).ceil() as u64))
    }

    fn refill(&mut self, now: Millis) {
        let gained = self.limit.rate * (now - self.updated).as_secs_f64();
        self.level = (self.level + gained).min(self.limit.burst);
        self.updated = self.updated.max(now);
    }
}
