//! How long the store has been away for this VM, and whether upstreams' entries may have lapsed.
//!
//! Upstreams renew their entries, and the store removes those that were silent for three renewals.
//! A connection that broke for a moment can't make an entry lapse, so what vanishes around it has
//! left. See docs/DATAPATH.md, "The catalogue".

use clock::Millis;

/// Renewals that an outage must last before an entry can lapse. An entry is removed after three
/// silent ones, and the last one before the outage is up to one and a half old.
const RENEWALS: f64 = 1.5;

/// An outage of the store as one VM sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    since: Option<Millis>,
}

impl Outage {
    /// Notes that a call failed which began at `called` and could wait for changes for `wait`. One
    /// that outlived its wait was not heard from the start.
    pub fn failed(&mut self, called: Millis, wait: Millis, now: Millis) {
        let silent = now >= called + wait;
        self.since.get_or_insert(if silent { called } else { now });
    }

    /// Notes that the store answered.
    pub fn ended(&mut self) {
        self.since = None;
    }

    /// Whether the store is away.
    pub fn is_on(&self) -> bool {
        self.since.is_some()
    }

    /// Whether entries that are renewed every `renewal` may have lapsed by `now`.
    pub fn lapses(&self, renewal: Millis, now: Millis) -> bool {
        let least = Millis((renewal.0 as f64 * RENEWALS) as u64);
        self.since.is_some_and(|since| now >= since + least)
    }
}
