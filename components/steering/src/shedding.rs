//! Tells an upstream that sheds requests from a service all of whose upstreams do.
//!
//! An upstream that sheds requests though it has free slots is ejected, as others serve them. When all
//! upstreams of a service shed alike, ejections only move objects to upstreams that are cold for them,
//! and the next attempt has the same chance anywhere. See docs/design/shedding.md.

use clock::Millis;

/// Time constant of the part of requests that is shed.
const AVERAGING_TIME: Millis = Millis(2_000);
/// Requests without a shed one that are taken for granted.
const PRIOR: f64 = 6.0;
/// Consecutive sheds by one upstream that are taken for its own fault are rarer than this by chance.
const MAX_CHANCE: f64 = 0.02;
/// Consecutive failures after which an upstream is ejected; a single one may be chance.
pub const MIN_FAILURES: u32 = 2;
/// An upstream that sheds everything is ejected after this many in any case.
const MAX_FAILURES: u32 = 8;

/// The part of a service's requests that upstreams with free slots shed, as one VM saw it lately.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    requests: f64,
    shed: f64,
    updated: Millis,
}

impl Rate {
    /// Records a request that reached an upstream, and whether it was shed though a slot was free.
    pub fn record(&mut self, shed: bool, now: Millis) {
        let kept = self.kept(now);
        self.requests = self.requests * kept + 1.0;
        self.shed = self.shed * kept + f64::from(u8::from(shed));
        self.updated = now;
    }

    /// The part of the requests that is shed, 0 to 1.
    pub fn part(&self, now: Millis) -> f64 {
        let kept = self.kept(now);
        self.shed * kept / (self.requests * kept + PRIOR)
    }

    /// The consecutive sheds after which an upstream is ejected: as many as chance hardly brings about.
    pub fn ejection_failures(&self, now: Millis) -> u32 {
        let part = self.part(now);
        if part * part <= MAX_CHANCE {
            return MIN_FAILURES;
        }
        let failures = (MAX_CHANCE.ln() / part.ln()).ceil();
        (failures as u32).clamp(MIN_FAILURES, MAX_FAILURES)
    }

    /// Whether so many requests are shed that another upstream is no better than the same one.
    pub fn is_common(&self, now: Millis) -> bool {
        self.ejection_failures(now) > MIN_FAILURES
    }

    fn kept(&self, now: Millis) -> f64 {
        (-((now - self.updated).0 as f64) / AVERAGING_TIME.0 as f64).exp()
    }
}
