use super::{Batch, Change, Content, Event, Feed};
use crate::routing::{Configuration, Readiness, Upstream};
use clock::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// Removed rows are remembered up to this many, so that neighbours can be told what changed.
const TOMBSTONES: usize = 512;

/// The state of both feeds.
#[derive(Debug, Default)]
pub struct Catalogue {
    operators: Rows,
    upstreams: Rows,
    configuration: Option<Arc<Configuration>>,
    /// Upstreams whose entry vanished in doubt, with the time at which they count as gone.
    lapsed: HashMap<Arc<str>, (Arc<Upstream>, Millis)>,
    /// Until when a vanished entry may have lapsed only because the store was away.
    doubt_until: Millis,
    /// When each restored failure domain was taken back.
    restored: HashMap<Arc<str>, Millis>,
}

#[derive(Debug, Default)]
struct Rows {
    revision: u64,
    /// The revision of the newest change.
    newest: u64,
    listed: bool,
    rows: HashMap<Arc<str>, Change>,
    /// Changes up to here are no longer remembered one by one.
    forgotten: u64,
}

impl Catalogue {
    /// Takes in a batch; `lapse` is how long an entry that vanished in doubt is still used.
    pub fn apply(&mut self, batch: Batch, now: Millis, lapse: Millis) -> Vec<Event> {
        let feed = batch.feed;
        let changed = self.rows_mut(feed).merge(batch);
        let mut events = Vec::new();
        for (change, before) in changed {
            match feed {
                Feed::Operators => self.operator_change(&change, before, now, &mut events),
                Feed::Upstreams => self.upstream_change(&change, before, now, lapse, &mut events),
            }
        }
        events
    }

    /// Puts entries that vanish before `until` in doubt, since the store was away.
    pub fn begin_outage_grace(&mut self, until: Millis) {
        self.doubt_until = until;
    }

    /// Ends the doubt at `until`, since the store was not away as long as it seemed.
    pub fn end_outage_grace(&mut self, until: Millis) {
        self.doubt_until = self.doubt_until.min(until);
    }

    /// Drops upstreams that stayed away after an outage.
    pub fn expire(&mut self, now: Millis) -> Vec<Event> {
        let mut events = Vec::new();
        self.lapsed.retain(|id, (_, until)| {
            let keep = now < *until;
            if !keep {
                events.push(Event::Left(Arc::clone(id)));
            }
            keep
        });
        events
    }

    /// When the next upstream that stays away counts as gone.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.lapsed.values().map(|(_, until)| *until).min()
    }

    /// Whether all rows of both feeds are known.
    pub fn is_complete(&self) -> bool {
        self.operators.listed && self.upstreams.listed && self.configuration.is_some()
    }

    /// Whether all rows of `feed` are known.
    pub fn is_listed(&self, feed: Feed) -> bool {
        self.rows(feed).listed
    }

    /// The revision up to which `feed` is known.
    pub fn revision(&self, feed: Feed) -> u64 {
        self.rows(feed).revision
    }

    /// The revision of the newest change of `feed`. Unlike [`Catalogue::revision`] it stands still
    /// while only other rows of the store change, so equal numbers mean equal knowledge.
    pub fn newest_revision(&self, feed: Feed) -> u64 {
        self.rows(feed).newest
    }

    /// What a neighbour that knows `feed` up to `after` has missed.
    pub fn changes_since(&self, feed: Feed, after: u64) -> Batch {
        let rows = self.rows(feed);
        let full = after < rows.forgotten || after == 0;
        let changes = rows.rows.values().filter(|change| match full {
            true => change.content != Content::Removed,
            false => change.revision > after,
        });
        Batch { feed, full, revision: rows.revision, changes: changes.cloned().collect() }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// The upstreams that take work, those in evacuated failure domains left out.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        let listed = self.upstreams.rows.values().filter_map(|change| match &change.content {
            Content::Upstream(upstream) => Some(upstream),
            _ => None,
        });
        let lapsed = self.lapsed.values().map(|(upstream, _)| upstream);
        listed.chain(lapsed).filter(|upstream| {
            upstream.readiness == Readiness::Ready && !self.is_evacuated(&upstream.domain)
        })
    }

    /// Whether nothing may be sent to a failure domain.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.operators.rows.values().any(
            |change| matches!(&change.content, Content::Evacuation(each) if each.as_ref() == domain),
        )
    }

    /// When a failure domain was last taken back, if that was seen.
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

    fn operator_change(
        &mut self,
        change: &Change,
        before: Option<Content>,
        now: Millis,
        events: &mut Vec<Event>,
    ) {
        match (&change.content, before) {
            (Content::Configuration(configuration), _) => {
                let known = self.configuration.as_ref().map(|known| known.version);
                if known.is_none_or(|known| configuration.version > known) {
                    self.configuration = Some(Arc::clone(configuration));
                    events.push(Event::Configured { version: configuration.version });
                }
            }
            (Content::Evacuation(domain), _) => events.push(Event::Evacuated(Arc::clone(domain))),
            (Content::Removed, Some(Content::Evacuation(domain))) => {
                self.restored.insert(Arc::clone(&domain), now);
                events.push(Event::Restored(domain));
            }
            (Content::Unreadable(reason), _) => events.push(unreadable(change, reason)),
            _ => {}
        }
    }

    fn upstream_change(
        &mut self,
        change: &Change,
        before: Option<Content>,
        now: Millis,
        lapse: Millis,
        events: &mut Vec<Event>,
    ) {
        let before = match before {
            Some(Content::Upstream(upstream)) => Some(upstream),
            _ => None,
        };
        match &change.content {
            Content::Upstream(upstream) => {
                let lapsed = self.lapsed.remove(&change.key).map(|(upstream, _)| upstream);
                let known = before.or(lapsed);
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
                    if now < self.doubt_until && upstream.readiness == Readiness::Ready =>
                {
                    let until = now + lapse;
                    self.lapsed.insert(Arc::clone(&change.key), (upstream, until));
                    events.push(Event::Lapsed { id: Arc::clone(&change.key), until });
                }
                Some(_) => events.push(Event::Left(Arc::clone(&change.key))),
                None => {}
            },
            Content::Unreadable(reason) => events.push(unreadable(change, reason)),
            _ => {}
        }
    }
}

impl Rows {
    /// Takes in the changes that are newer than what is known; gives them with what they replace.
    fn merge(&mut self, batch: Batch) -> Vec<(Change, Option<Content>)> {
        if batch.full && batch.revision < self.revision {
            return Vec::new();
        }
        let mut changed = Vec::new();
        if batch.full {
            changed.extend(self.remove_unlisted(&batch));
        }
        for change in batch.changes {
            let known = self.rows.get(&change.key);
            if known.is_some_and(|known| known.revision >= change.revision) {
                continue;
            }
            let before = known.map(|known| known.content.clone());
            self.newest = self.newest.max(change.revision);
            self.rows.insert(Arc::clone(&change.key), change.clone());
            changed.push((change, before));
        }
        self.revision = self.revision.max(batch.revision);
        self.listed |= batch.full;
        self.forget();
        changed
    }

    fn remove_unlisted(&mut self, batch: &Batch) -> Vec<(Change, Option<Content>)> {
        let listed: std::collections::HashSet<&str> =
            batch.changes.iter().map(|change| change.key.as_ref()).collect();
        let mut changed = Vec::new();
        for change in self.rows.values_mut() {
            let newer = change.revision > batch.revision;
            if newer || listed.contains(change.key.as_ref()) || change.content == Content::Removed {
                continue;
            }
            let before = std::mem::replace(&mut change.content, Content::Removed);
            change.revision = batch.revision;
            changed.push((change.clone(), Some(before)));
        }
        changed
    }

    fn forget(&mut self) {
        let mut removed: Vec<u64> = self
            .rows
            .values()
            .filter(|change| change.content == Content::Removed)
            .map(|change| change.revision)
            .collect();
        if removed.len() <= TOMBSTONES {
            return;
        }
        removed.sort_unstable();
        let until = removed[removed.len() - TOMBSTONES / 2];
        self.rows.retain(|_, change| change.content != Content::Removed || change.revision > until);
        self.forgotten = self.forgotten.max(until);
    }
}

fn unreadable(change: &Change, reason: &Arc<str>) -> Event {
    Event::Unreadable { key: Arc::clone(&change.key), reason: Arc::clone(reason) }
}
