use super::in_force::InForce;
use super::recovery::{Memory, REWRITE_GRACE};
use super::rows::{Rows, unreadable};
use super::{Batch, Change, Content, Event, Feed, Position};
use crate::routing::{Configuration, Readiness, Upstream};
use clock::Millis;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The state of both feeds.
#[derive(Debug, Default)]
pub struct Catalogue {
    operators: Rows,
    upstreams: Rows,
    configuration: Option<InForce>,
    /// Upstreams whose entries vanished within the outage grace, with the time when they are
    /// removed.
    lapsed: HashMap<Arc<str>, (Arc<Upstream>, Millis)>,
    /// End of the outage grace: entries that vanish before may have expired only because the store
    /// was unreachable.
    grace_until: Millis,
    /// When the last evacuation of each failure domain ended.
    restored: HashMap<Arc<str>, Millis>,
    /// What an older copy of the store may lack.
    memory: Memory,
    /// Whether this copy began in an era after the first and no peer has completed it.
    is_incomplete: bool,
}

/// The circumstances of a change.
#[derive(Clone, Copy, Debug)]
struct Occasion {
    now: Millis,
    /// How long a lapsed upstream is still used.
    retention: Millis,
    /// Whether the change comes from a listing of a newer era.
    is_recovery: bool,
}

impl Catalogue {
    /// Applies a batch; `retention` is how long a lapsed upstream is still used.
    pub fn apply(&mut self, mut batch: Batch, now: Millis, retention: Millis) -> Vec<Event> {
        let (feed, era) = (batch.feed, batch.era);
        let mut events: Vec<Event> =
            InForce::adopt(&mut self.configuration, &batch).into_iter().collect();
        let known = self.rows(feed);
        let is_recovery = batch.full && known.listed && batch.era > known.era;
        if feed == Feed::Upstreams && batch.full && !known.listed {
            self.is_incomplete = era > 0;
        }
        let mut kept = 0;
        if is_recovery {
            kept = self.memory.restore_upstreams(self.rows(feed), &mut batch);
            self.memory.renew_evacuations(now);
            self.grace_until = self.grace_until.max(now + REWRITE_GRACE);
        }
        if feed == Feed::Upstreams {
            self.memory.mark_departures(&self.upstreams, &mut batch);
        }
        let changed = self.rows_mut(feed).merge(batch);
        let occasion = Occasion { now, retention, is_recovery };
        for (change, before) in changed {
            kept += usize::from(match feed {
                Feed::Operators => self.operator_change(&change, before, occasion, &mut events),
                Feed::Upstreams => self.upstream_change(&change, before, occasion, &mut events),
            });
        }
        if is_recovery {
            events.push(Event::Recovered { feed, era, kept });
        }
        events
    }

    /// Whether a listing of a peer may have departures of upstreams that the store's older copy lacks.
    pub fn needs_peer_listing(&self, feed: Feed) -> bool {
        feed == Feed::Upstreams && self.is_incomplete
    }

    /// Records that a peer's listing was applied.
    pub fn record_peer_listing(&mut self, feed: Feed, era: u64) {
        if feed == Feed::Upstreams && era >= self.upstreams.era {
            self.is_incomplete = false;
        }
    }

    /// Begins the outage grace: until `until`, ready upstreams whose entries vanish are kept for a
    /// while, since the store was unreachable.
    pub fn begin_outage_grace(&mut self, until: Millis) {
        self.grace_until = until;
    }

    /// Ends the outage grace at `until` if that is sooner, since the outage was shorter than it
    /// seemed.
    pub fn end_outage_grace(&mut self, until: Millis) {
        self.grace_until = self.grace_until.min(until);
    }

    /// Removes the lapsed upstreams that did not register again in time, and ends the evacuations
    /// that were not written again.
    pub fn expire(&mut self, now: Millis) -> Vec<Event> {
        let mut events = Vec::new();
        for domain in self.memory.expire(now) {
            self.restored.insert(Arc::clone(&domain), now);
            events.push(Event::Restored(domain));
        }
        self.lapsed.retain(|id, (upstream, until)| {
            let keep = now < *until;
            if !keep {
                self.memory.record_departure(upstream, now);
                events.push(Event::Left(Arc::clone(id)));
            }
            keep
        });
        events
    }

    /// When the next lapsed upstream or kept evacuation expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        let lapsed = self.lapsed.values().map(|(_, until)| *until);
        lapsed.chain(self.memory.next_expiry()).min()
    }

    /// Whether both feeds were fully listed and there is a configuration.
    pub fn is_complete(&self) -> bool {
        self.operators.listed && self.upstreams.listed && self.configuration.is_some()
    }

    /// Whether a full listing of `feed` was received.
    pub fn is_listed(&self, feed: Feed) -> bool {
        self.rows(feed).listed
    }

    /// The position up to which all changes of `feed` are known.
    pub fn position(&self, feed: Feed) -> Position {
        let rows = self.rows(feed);
        Position { era: rows.era, revision: rows.revision }
    }

    /// The version of the configuration in force, or 0.
    pub fn version(&self) -> u64 {
        self.configuration().map_or(0, |configuration| configuration.version)
    }

    /// The revision up to which all changes of `feed` are known, in the era of the copy.
    pub fn revision(&self, feed: Feed) -> u64 {
        self.rows(feed).revision
    }

    /// The revision of the newest change of `feed`. Unlike [`Catalogue::revision`] it does not move
    /// while only other rows of the store change, so equal numbers mean equal rows.
    pub fn newest_revision(&self, feed: Feed) -> u64 {
        self.rows(feed).newest
    }

    /// The revision after which all changes of `feed` are known; earlier removals may not be.
    pub fn complete_after(&self, feed: Feed) -> u64 {
        self.rows(feed).compacted
    }

    /// The changes of `feed` after `after`, a revision of the copy's era, for a peer; a full listing
    /// if some removals since then are unknown here. The configuration is the one in force, also
    /// where the store has an older one.
    pub fn changes_since(&self, feed: Feed, after: u64) -> Batch {
        let rows = self.rows(feed);
        let full = after < rows.compacted || after == 0;
        let changes = rows.rows.values().filter(|change| match full {
            true => change.content != Content::Removed,
            false => change.revision > after,
        });
        let mut changes: Vec<Change> = changes.cloned().collect();
        if let Some(in_force) = self.configuration.as_ref().filter(|_| feed == Feed::Operators) {
            in_force.insert_into(&mut changes, full);
        }
        Batch { feed, full, revision: rows.revision, changes, era: rows.era }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref().map(|in_force| &in_force.configuration)
    }

    /// The upstreams that take requests, without those in evacuated failure domains.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        let listed = self.upstreams.rows.values().filter_map(|change| match &change.content {
            Content::Upstream(upstream) => Some(upstream),
            _ => None,
        });
        let lapsed = self.lapsed.values().map(|(upstream, _)| upstream);
        let evacuated: HashSet<&str> = self.evacuated().collect();
        listed.chain(lapsed).filter(move |upstream| {
            upstream.readiness == Readiness::Ready && !evacuated.contains(upstream.domain.as_ref())
        })
    }

    /// Whether a failure domain is evacuated: nothing may be sent there.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated().any(|each| each == domain)
    }

    fn evacuated(&self) -> impl Iterator<Item = &str> {
        let listed = self.operators.rows.values().filter_map(|change| match &change.content {
            Content::Evacuation(domain) => Some(domain.as_ref()),
            _ => None,
        });
        listed.chain(self.memory.evacuations())
    }

    /// When the last evacuation of a failure domain ended, if this VM observed it.
    pub fn restored_at(&self, domain: &str) -> Option<Millis> {
        self.restored.get(domain).copied()
    }

    fn rows(&self, feed: Feed) -> &Rows {
        match feed {
            Feed::Operators => &self.operators,
            Feed::Upstreams => &self.upstreams,
        }
    }

    fn rows_mut(&mut self, feed: Feed) -> &mut Rows {
        match feed {
            Feed::Operators => &mut self.operators,
            Feed::Upstreams => &mut self.upstreams,
        }
    }

    /// Returns whether an evacuation is kept that an older copy of the store lacks.
    fn operator_change(
        &mut self,
        change: &Change,
        before: Option<Content>,
        occasion: Occasion,
        events: &mut Vec<Event>,
    ) -> bool {
        match (&change.content, before) {
            (Content::Evacuation(domain), _) => {
                self.memory.release_evacuation(&change.key);
                events.push(Event::Evacuated(Arc::clone(domain)));
            }
            (Content::Removed, Some(Content::Evacuation(domain))) if occasion.is_recovery => {
                self.memory.keep_evacuation(&change.key, domain, occasion.now);
                return true;
            }
            (Content::Removed, Some(Content::Evacuation(domain))) => {
                self.restored.insert(Arc::clone(&domain), occasion.now);
                events.push(Event::Restored(domain));
            }
            (Content::Removed, None | Some(Content::Removed)) => {
                if let Some(domain) = self.memory.release_evacuation(&change.key) {
                    self.restored.insert(Arc::clone(&domain), occasion.now);
                    events.push(Event::Restored(domain));
                }
            }
            (Content::Unreadable(_), before) => events.extend(unreadable(change, before, false)),
            _ => {}
        }
        false
    }

    /// Returns whether an upstream is kept that an older copy of the store lacks.
    fn upstream_change(
        &mut self,
        change: &Change,
        before: Option<Content>,
        occasion: Occasion,
        events: &mut Vec<Event>,
    ) -> bool {
        let Occasion { now, retention, is_recovery } = occasion;
        let before = match (&change.content, before) {
            (Content::Unreadable(_), before) => {
                // It was written while the store could be reached, so the entry has not lapsed.
                let lapsed = self.lapsed.remove(&change.key).is_some();
                let was_used = lapsed
                    || matches!(&before, Some(Content::Upstream(upstream))
                        if upstream.readiness == Readiness::Ready);
                events.extend(unreadable(change, before, was_used));
                return false;
            }
            (_, Some(Content::Upstream(upstream))) => Some(upstream),
            _ => None,
        };
        match &change.content {
            Content::Upstream(upstream) => {
                let lapsed = self.lapsed.remove(&change.key).map(|(upstream, _)| upstream);
                let known = before.or(lapsed);
                match &known {
                    // An older copy may have an earlier incarnation.
                    Some(known) if !is_recovery && known.incarnation != upstream.incarnation => {
                        self.memory.record_departure(known, now);
                    }
                    _ => {}
                }
                match upstream.readiness {
                    Readiness::Ready => self.memory.forget_departure(upstream),
                    Readiness::Leaving => self.memory.record_departure(upstream, now),
                }
                let same = known.is_some_and(|known| {
                    known.incarnation == upstream.incarnation
                        && known.readiness == upstream.readiness
                });
                if upstream.readiness == Readiness::Leaving {
                    events.push(Event::Leaving(Arc::clone(&change.key)));
                } else if !same {
                    events.push(Event::Joined(Arc::clone(&change.key)));
                }
            }
            Content::Removed => match before {
                Some(upstream)
                    if now < self.grace_until && upstream.readiness == Readiness::Ready =>
                {
                    let until = now + retention;
                    self.lapsed.insert(Arc::clone(&change.key), (upstream, until));
                    events.push(Event::Lapsed { id: Arc::clone(&change.key), until });
                    return is_recovery;
                }
                Some(upstream) => {
                    self.memory.record_departure(&upstream, now);
                    events.push(Event::Left(Arc::clone(&change.key)));
                }
                None => {}
            },
            _ => {}
        }
        false
    }
}
