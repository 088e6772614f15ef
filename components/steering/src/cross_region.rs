//! How much of a VM's traffic runs outside the regions that it is apportioned to, and how fast
//! that may change.
//!
//! Overflow to other regions would otherwise come and go with every burst, and each move finds
//! cold upstreams and loads the links between regions. The share follows what placement wants at a
//! bounded rate, also downwards. See docs/PLACEMENT.md, "Between regions".

use clock::Millis;

/// The part of the allowed rate of change that is used; `apportion` uses some, and windows of
/// different VMs and the wait of requests in upstreams' queues blur the rest.
const RATE_USED: f64 = 0.5;
/// The window to which the deployment's bound on shifts refers.
pub(crate) const WINDOW: Millis = Millis(2_000);
/// The time over which wishes are averaged; shorter than a window, so that the share keeps up.
const WISH_SPAN: Millis = Millis(1_000);
/// Requests that may run ahead of or behind the share, so that those that gain most cross.
const SLACK: f64 = 1.0;

/// The share of requests that cross to other regions, as one VM steers it.
#[derive(Debug)]
pub struct Limiter {
    /// The most that the share changes in a millisecond.
    rate: f64,
    share: f64,
    wish: f64,
    /// Sent requests that should have crossed but did not; negative if more did.
    owed: f64,
    at: Millis,
}

impl Limiter {
    /// Nothing crosses at first; `most` is the part of the requests that may move between two
    /// windows.
    pub fn new(most: f64, now: Millis) -> Limiter {
        let rate = most * RATE_USED / WINDOW.0 as f64;
        Limiter { rate, share: 0.0, wish: 0.0, owed: 0.0, at: now }
    }

    /// Whether the next request crosses, when placement would have it cross or not.
    pub fn decide(&mut self, wants: bool, now: Millis) -> bool {
        let elapsed = (now - self.at).0 as f64;
        self.at = now;
        let weight = 1.0 - (-(elapsed.max(1.0)) / WISH_SPAN.0 as f64).exp();
        self.wish += (f64::from(u8::from(wants)) - self.wish) * weight;
        let step = self.rate * elapsed;
        self.share += (self.wish - self.share).clamp(-step, step);
        let owed = self.owed + self.share;
        if wants { owed > 1.0 - SLACK } else { owed >= SLACK }
    }

    /// Notes a request that is sent, and whether it crosses. Those that are refused don't count:
    /// while a region is full, the share of what runs would grow faster than that of what comes.
    pub fn record_sent(&mut self, crosses: bool) {
        self.owed += self.share - f64::from(u8::from(crosses));
    }

    /// The share of requests that cross now.
    pub fn share(&self) -> f64 {
        self.share
    }
}
