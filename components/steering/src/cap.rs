//! Usage caps of client accounts over all VMs.
//!
//! Each VM holds a share of an account's cap, in millionths, and may admit that part of its rate and
//! burst. One VM, the coordinator, leases shares out and keeps the rest as a reserve, from which it
//! gives single tokens to VMs that have none. The shares that VMs may use never sum to more than one,
//! whichever messages are lost, late or duplicated. See docs/design/caps.md.

mod bucket;
mod coordinator;
mod duty;
mod entry;
mod holder;
mod lease;
mod message;
mod pool;
mod succession;
mod term;

pub use bucket::Bucket;
pub use coordinator::Coordinator;
pub use duty::Duty;
pub use holder::{Award, Holder};
pub use message::{Demand, Offer, Reply, Report, Tokens};
pub use succession::Phase;
pub use term::{LEASE_SPAN, Row, Start, Term};

use crate::account::Account;
use clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// The whole of a cap, in the unit of shares.
pub const WHOLE: u32 = 1_000_000;
/// Time for which a VM may use a single token after it asked for it.
pub const TOKEN_SPAN: Millis = Millis(400);
/// The part of the tolerated excess that is used as burst. The rest covers the different speeds of
/// clocks.
const TOLERANCE_PART: f64 = 0.75;

/// Identifies an account in messages: a hash of its name.
pub fn key(account: &str) -> u64 {
    xxh3_64(account.as_bytes())
}

/// How requests over the cap are counted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The sliding window.
    pub window: Millis,
    /// The part beyond rate and burst that is tolerated in a window, 0 to 1.
    pub overage: f64,
    /// Requests beyond that which are tolerated in a window.
    pub allowance: f64,
}

/// What may be admitted: a token bucket's rate and depth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Limit {
    /// Tokens a second.
    pub rate: f64,
    /// The most tokens.
    pub burst: f64,
}

impl Limit {
    /// The limit of an account over all VMs; `None` if it has none.
    pub fn new(account: &Account, tolerance: Tolerance) -> Option<Limit> {
        let rate = account.rate;
        let cap = rate * tolerance.window.as_secs_f64() + account.burst;
        let excess = cap * tolerance.overage + tolerance.allowance;
        (rate > 0.0).then_some(Limit { rate, burst: account.burst + excess * TOLERANCE_PART })
    }

    /// The part that a share is of it.
    pub fn part(self, share: u32) -> Limit {
        let part = f64::from(share) / f64::from(WHOLE);
        Limit { rate: self.rate * part, burst: self.burst * part }
    }
}
