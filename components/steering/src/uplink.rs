//! Limits the large changes that a VM sends to its peers at a time.
//!
//! Transfers share the VM's link. Many at a time would all end late, while the first peers to have
//! the changes could already send them to others. See docs/DATAPATH.md, "Readers".

use clock::Millis;

/// The part of the link, as a divisor, that transfers to peers may use. The rest is for callers and
/// upstreams.
const LINK_DIVISOR: u64 = 2;
/// The time within which all transfers that were admitted must be able to end; a single one may
/// take longer.
const MAX_BACKLOG: Millis = Millis(300);

/// The transfers that a VM has admitted.
#[derive(Debug, Default)]
pub struct Uplink {
    /// When the transfers end, at the rate that they may use.
    idle_at: Millis,
}

impl Uplink {
    /// Whether a transfer of `bytes` may begin now on a link of `mbps`; it counts as begun then.
    pub fn admit(&mut self, bytes: usize, mbps: u32, now: Millis) -> bool {
        let bits_per_ms = (u64::from(mbps) * 1_000 / LINK_DIVISOR).max(1);
        let span = Millis(bytes as u64 * 8 / bits_per_ms);
        let backlog = self.idle_at - now;
        if backlog > Millis::ZERO && backlog + span > MAX_BACKLOG {
            return false;
        }
        self.idle_at = now + backlog + span;
        true
    }
}
