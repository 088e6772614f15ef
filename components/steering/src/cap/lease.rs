use super::Offer;
use clock::Millis;
use std::collections::HashMap;

/// A share is replaced when it is off by this part.
const DEVIATION: f64 = 0.15;
/// The shares of a VM.
#[derive(Debug)]
pub struct Lease {
    pub incarnation: u64,
    pub last_id: u64,
    /// When all its shares have lapsed.
    pub end: Millis,
    pub shares: HashMap<u64, Share>,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    /// What the VM holds.
    pub held: u32,
    /// What it was offered and may hold.
    pub offer: Option<Offer>,
    pub demand: f64,
}

impl Share {
    /// What the VM may use.
    pub fn leased(&self) -> u32 {
        self.offer.map_or(self.held, |offer| offer.share.max(self.held))
    }
}

/// Whether a share is off by so much that it is replaced.
pub fn differs(held: u32, target: u32) -> bool {
    let deviation = f64::from(held.abs_diff(target));
    (target == 0) != (held == 0) || deviation > DEVIATION * f64::from(held.max(target))
}
