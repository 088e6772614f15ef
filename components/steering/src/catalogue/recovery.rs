//! What a VM still knows when the store comes back from an older copy of itself.
//!
//! The copy lacks what was acknowledged last until it is written again. See docs/design/eras.md.

use super::rows::Rows;
use super::{Batch, Content};
use crate::routing::{Readiness, Upstream};
use clock::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// Time within which operators and upstreams write again what an older copy lacks.
pub const REWRITE_GRACE: Millis = Millis(2_500);
/// How long it is remembered that an upstream left; a copy of the store is some seconds old.
const DEPARTURE_RETENTION: Millis = Millis::from_secs(60);

/// Acknowledged changes that an older copy of the store may lack.
#[derive(Debug, Default)]
pub struct Memory {
    /// When each upstream left, by id and incarnation.
    departed: HashMap<(Arc<str>, u64), Millis>,
    /// Evacuated domains whose rows the copy lacks, by key, with the time when they end.
    evacuations: HashMap<Arc<str>, (Arc<str>, Millis)>,
}

impl Memory {
    /// Records that an upstream takes no new requests.
    pub fn record_departure(&mut self, upstream: &Upstream, now: Millis) {
        self.departed.insert((Arc::clone(&upstream.id), upstream.incarnation), now);
    }

    /// Records that an upstream takes new requests again.
    pub fn forget_departure(&mut self, upstream: &Upstream) {
        if !self.departed.is_empty() {
            self.departed.remove(&(Arc::clone(&upstream.id), upstream.incarnation));
        }
    }

    /// Puts what is known of upstreams that left in place of their entries in a listing of a newer
    /// era; returns the number of these.
    pub fn restore_upstreams(&self, known: &Rows, batch: &mut Batch) -> usize {
        let mut kept = 0;
        let last_departed = self.last_departed();
        for change in &mut batch.changes {
            let Content::Upstream(listed) = &change.content else {
                continue;
            };
            let known = match known.rows.get(&change.key).map(|known| &known.content) {
                Some(Content::Upstream(known)) => Some(known),
                _ => None,
            };
            // It started again since the copy was made.
            if let Some(later) = known.filter(|known| known.incarnation > listed.incarnation) {
                change.content = Content::Upstream(Arc::clone(later));
                kept += 1;
                continue;
            }
            let has_later_left = known.is_none()
                && last_departed.get(&listed.id).is_some_and(|last| *last > listed.incarnation);
            let has_left = self.has_departed(listed)
                || has_later_left
                || known.is_some_and(|known| {
                    known.incarnation == listed.incarnation && known.readiness == Readiness::Leaving
                });
            if !has_left || listed.readiness == Readiness::Leaving {
                continue;
            }
            let leaving = Upstream { readiness: Readiness::Leaving, ..Upstream::clone(listed) };
            change.content = Content::Upstream(Arc::new(leaving));
            kept += 1;
        }
        kept
    }

    /// The last incarnation of each upstream that left.
    fn last_departed(&self) -> HashMap<Arc<str>, u64> {
        let mut last = HashMap::new();
        for (id, incarnation) in self.departed.keys() {
            let known = last.entry(Arc::clone(id)).or_insert(*incarnation);
            *known = (*known).max(*incarnation);
        }
        last
    }

    /// Marks the upstreams that left as leaving in entries which a peer keeps in place of those of the
    /// copy, under the same revisions: the peer may not know of the departures.
    pub fn mark_departures(&self, known: &Rows, batch: &mut Batch) {
        if self.departed.is_empty() || batch.era != known.era {
            return;
        }
        for change in &mut batch.changes {
            let row = known.rows.get(&change.key);
            let is_kept = row.is_some_and(|row| row.revision == change.revision);
            if let Content::Upstream(listed) = &change.content
                && is_kept
                && self.has_departed(listed)
            {
                let leaving = Upstream { readiness: Readiness::Leaving, ..Upstream::clone(listed) };
                change.content = Content::Upstream(Arc::new(leaving));
            }
        }
    }

    /// Keeps an evacuation that the copy lacks for a while.
    pub fn keep_evacuation(&mut self, key: &Arc<str>, domain: Arc<str>, now: Millis) {
        self.evacuations.insert(Arc::clone(key), (domain, now + REWRITE_GRACE));
    }

    /// Ends the keeping of an evacuation, as its row was written again; returns its domain.
    pub fn release_evacuation(&mut self, key: &str) -> Option<Arc<str>> {
        self.evacuations.remove(key).map(|(domain, _)| domain)
    }

    /// Keeps all kept evacuations for longer, as the store came back from a copy once more.
    pub fn renew_evacuations(&mut self, now: Millis) {
        for (_, until) in self.evacuations.values_mut() {
            *until = now + REWRITE_GRACE;
        }
    }

    /// The kept evacuations.
    pub fn evacuations(&self) -> impl Iterator<Item = &str> {
        self.evacuations.values().map(|(domain, _)| domain.as_ref())
    }

    /// When the next kept evacuation ends.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.evacuations.values().map(|(_, until)| *until).min()
    }

    /// Ends the evacuations that were not written again in time, and returns them.
    pub fn expire(&mut self, now: Millis) -> Vec<Arc<str>> {
        self.departed.retain(|_, when| now < *when + DEPARTURE_RETENTION);
        let mut ended = Vec::new();
        self.evacuations.retain(|_, (domain, until)| {
            let keep = now < *until;
            if !keep {
                ended.push(Arc::clone(domain));
            }
            keep
        });
        ended
    }

    fn has_departed(&self, upstream: &Upstream) -> bool {
        !self.departed.is_empty()
            && self.departed.contains_key(&(Arc::clone(&upstream.id), upstream.incarnation))
    }
}
