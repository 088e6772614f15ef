//! Limits how fast the share of a VM's requests that run outside their assigned region changes.
//!
//! Otherwise overflow to other regions would come and go with every burst, and each move reaches
//! cold upstreams and loads the links between regions. The share follows the demand for crossing at
//! a bounded rate, both up and down. See docs/PLACEMENT.md, "Between regions".

use clock::Millis;

/// Fraction of the allowed rate of change. [`crate::assignment`] uses another part of it, and the
/// remainder covers windows that differ between VMs and requests that wait in upstreams' queues.
const RATE_USED: f64 = 0.5;
/// Window to which the deployment's bound on shifts refers.
pub(crate) const WINDOW: Millis = Millis(2_000);
/// Time constant of the averaged demand; below a window, so that the share keeps up.
const AVERAGING_TIME: Millis = Millis(1_000);
/// Requests by which the crossings may be ahead of or behind the share, so that the requests that
/// gain most by crossing are the ones that cross.
const SLACK: f64 = 1.0;

/// Decides which of one VM's requests cross to another region.
#[derive(Debug)]
pub struct Limiter {
    /// Largest change of the share in a millisecond.
    rate: f64,
    /// Fraction of the requests that may cross.
    share: f64,
    /// Averaged fraction of the requests that are placed best in another region.
    demand: f64,
    /// Requests that should have crossed by the share but did not; negative if more crossed.
    deficit: f64,
    updated: Millis,
}

impl Limiter {
    /// A limiter whose share starts at zero. `max_shift` is the largest fraction of the requests
    /// that may move between two windows.
    pub fn new(max_shift: f64, now: Millis) -> Limiter {
        let rate = max_shift * RATE_USED / WINDOW.0 as f64;
        Limiter { rate, share: 0.0, demand: 0.0, deficit: 0.0, updated: now }
    }

    /// Whether the next request crosses; `wants` is whether it is placed best in another region.
    pub fn decide(&mut self, wants: bool, now: Millis) -> bool {
        let elapsed = (now - self.updated).0 as f64;
        self.updated = now;
        let weight = 1.0 - (-(elapsed.max(1.0)) / AVERAGING_TIME.0 as f64).exp();
        self.demand += (f64::from(u8::from(wants)) - self.demand) * weight;
        let step = self.rate * elapsed;
        self.share += (self.demand - self.share).clamp(-step, step);
        let deficit = self.deficit + self.share;
        if wants { deficit > 1.0 - SLACK } else { deficit >= SLACK }
    }

    /// Records a request that was sent and whether it crossed. Refused requests don't count: while
    /// a region is full, the share among the requests that run would grow faster than the share
    /// among those that arrive.
    pub fn record_sent(&mut self, crosses: bool) {
        self.deficit += self.share - f64::from(u8::from(crosses));
    }

    /// The fraction of the requests that may cross now.
    pub fn share(&self) -> f64 {
        self.share
    }
}
