//! The latest period without an outage of the store, as observed by all VMs together.
//!
//! Upstreams renew their entries, and the store removes an entry after three missed renewals, even
//! if it was the store that was unreachable. A VM whose own connection broke or that was
//! partitioned can't tell that from an outage, but its peers can. See docs/DATAPATH.md, "The
//! catalogue".

use clock::Millis;

/// Shortest outage that can expire an entry, in renewal intervals: an entry expires after three
/// missed renewals, and the last one before the outage is up to 1.2 intervals old.
const OUTAGE_RENEWALS: f64 = 1.8;
/// Shortest pause that counts as an outage; a request waits 2 s for changes and may be slow.
const MIN_OUTAGE: Millis = Millis(2_700);

/// A period in which the store responded without a pause that lets entries expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    /// Time of the first response.
    pub start: Millis,
    /// Time of the last response.
    pub end: Millis,
}

impl Uptime {
    /// The period of a single response at `when`.
    pub fn at(when: Millis) -> Uptime {
        Uptime { start: when, end: when }
    }

    /// Combines two observations, with upstreams that renew their entries every `renewal`: one
    /// period if no outage lies between them, else the later one.
    pub fn merge(self, other: Uptime, renewal: Millis) -> Uptime {
        let pause = MIN_OUTAGE.max(Millis((renewal.0 as f64 * OUTAGE_RENEWALS) as u64));
        let is_continuous = other.start <= self.end + pause && self.start <= other.end + pause;
        match (is_continuous, self.end < other.end) {
            (true, _) => {
                Uptime { start: self.start.min(other.start), end: self.end.max(other.end) }
            }
            (false, true) => other,
            (false, false) => self,
        }
    }
}
