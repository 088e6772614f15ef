//! Since when the store has answered some VM without a long pause.
//!
//! Upstreams renew their entries, and the store removes those that were silent for three renewals,
//! also when it was the store that was away. A VM whose own connection broke, or that was cut off,
//! can't tell that from an outage, but its neighbours can. See docs/DATAPATH.md, "The catalogue".

use clock::Millis;

/// Renewals that an outage lasts at least before an entry can lapse. An entry is removed after
/// three silent ones, and the last one before the outage is up to one and a fifth old.
const RENEWALS: f64 = 1.8;
/// The least pause that counts as an outage; a call waits 2 s for changes and may be slow.
const PAUSE_LEAST: Millis = Millis(2_700);

/// A span of time in which the store answered with no pause that lets entries lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    /// The first answer.
    pub start: Millis,
    /// The last answer.
    pub end: Millis,
}

impl Uptime {
    /// One answer at `when`.
    pub fn at(when: Millis) -> Uptime {
        Uptime { start: when, end: when }
    }

    /// What both tell together, with upstreams that renew their entries every `renewal`: one span
    /// if no pause lies between them, else the later one.
    pub fn merge(self, other: Uptime, renewal: Millis) -> Uptime {
        let pause = PAUSE_LEAST.max(Millis((renewal.0 as f64 * RENEWALS) as u64));
        let meets = other.start <= self.end + pause && self.start <= other.end + pause;
        match (meets, self.end < other.end) {
            (true, _) => {
                Uptime { start: self.start.min(other.start), end: self.end.max(other.end) }
            }
            (false, true) => other,
            (false, false) => self,
        }
    }
}
