use super::{Batch, Change, Content, Event, Feed};
use crate::routing::{Configuration, Readiness, Upstream};
use clock::Millis;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Removed rows that are kept, so that peers can fetch the removals; half of them are dropped above
/// this.
const MAX_TOMBSTONES: usize = 512;
/// Most bytes of the reason why an entry can't be used: errors quote values, and peers get them too.
const MAX_REASON_BYTES: usize = 120;

/// The state of both feeds.
#[derive(Debug, Default)]
pub struct Catalogue {
    operators: Rows,
    upstreams: Rows,
    configuration: Option<Arc<Configuration>>,
    /// Upstreams whose entries vanished within the outage grace, with the time when they are
    /// removed.
    lapsed: HashMap<Arc<str>, (Arc<Upstream>, Millis)>,
    /// End of the outage grace: entries that vanish before may have expired only because the store
    /// was unreachable.
    grace_until: Millis,
    /// When the last evacuation of each failure domain ended.
    restored: HashMap<Arc<str>, Millis>,
}

#[derive(Debug, Default)]
struct Rows {
    /// Revision up to which all changes are known.
    revision: u64,
    /// Revision of the newest change.
    newest: u64,
    /// Whether a full listing was received.
    listed: bool,
    rows: HashMap<Arc<str>, Change>,
    /// Changes up to this revision may be unknown: they were made before a full listing, which has
    /// no removed rows, or their removals were dropped.
    compacted: u64,
}

impl Catalogue {
    /// Applies a batch; `retention` is how long a lapsed upstream is still used.
    pub fn apply(&mut self, batch: Batch, now: Millis, retention: Millis) -> Vec<Event> {
        let feed = batch.feed;
        let changed = self.rows_mut(feed).merge(batch);
        let mut events = Vec::new();
        for (change, before) in changed {
            match feed {
                Feed::Operators => self.operator_change(&change, before, now, &mut events),
                Feed::Upstreams => {
                    self.upstream_change(&change, before, now, retention, &mut events)
                }
            }
        }
        events
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

    /// Removes the lapsed upstreams that did not register again in time.
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

    /// When the next lapsed upstream is due to be removed.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.lapsed.values().map(|(_, until)| *until).min()
    }

    /// Whether both feeds were fully listed and there is a configuration.
    pub fn is_complete(&self) -> bool {
        self.operators.listed && self.upstreams.listed && self.configuration.is_some()
    }

    /// Whether a full listing of `feed` was received.
    pub fn is_listed(&self, feed: Feed) -> bool {
        self.rows(feed).listed
    }

    /// The revision up to which all changes of `feed` are known.
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

    /// The changes of `feed` after revision `after`, for a peer; a full listing if some removals
    /// since then are unknown here.
    pub fn changes_since(&self, feed: Feed, after: u64) -> Batch {
        let rows = self.rows(feed);
        let full = after < rows.compacted || after == 0;
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
        self.operators.rows.values().filter_map(|change| match &change.content {
            Content::Evacuation(domain) => Some(domain.as_ref()),
            _ => None,
        })
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

    fn operator_change(
        &mut self,
        change: &Change,
        before: Option<Content>,
        now: Millis,
        events: &mut Vec<Event>,
    ) {
        match (&change.content, before) {
            (Content::Configuration(configuration), _) => {
                let known = self.configuration.as_ref();
                if known.is_none_or(|known| configuration.version > known.version) {
                    events.push(Event::Configured {
                        version: configuration.version,
                        routes: configuration.routes.len(),
                        regions_changed: known
                            .map_or(0, |known| configuration.regions_changed(known)),
                    });
                    self.configuration = Some(Arc::clone(configuration));
                }
            }
            (Content::Evacuation(domain), _) => events.push(Event::Evacuated(Arc::clone(domain))),
            (Content::Removed, Some(Content::Evacuation(domain))) => {
                self.restored.insert(Arc::clone(&domain), now);
                events.push(Event::Restored(domain));
            }
            (Content::Unreadable(_), before) => events.extend(unreadable(change, before, false)),
            _ => {}
        }
    }

    fn upstream_change(
        &mut self,
        change: &Change,
        before: Option<Content>,
        now: Millis,
        retention: Millis,
        events: &mut Vec<Event>,
    ) {
        let before = match (&change.content, before) {
            (Content::Unreadable(_), before) => {
                // It was written while the store could be reached, so the entry has not lapsed.
                let lapsed = self.lapsed.remove(&change.key).is_some();
                let was_used = lapsed
                    || matches!(&before, Some(Content::Upstream(upstream))
                        if upstream.readiness == Readiness::Ready);
                events.extend(unreadable(change, before, was_used));
                return;
            }
            (_, Some(Content::Upstream(upstream))) => Some(upstream),
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
                    if now < self.grace_until && upstream.readiness == Readiness::Ready =>
                {
                    let until = now + retention;
                    self.lapsed.insert(Arc::clone(&change.key), (upstream, until));
                    events.push(Event::Lapsed { id: Arc::clone(&change.key), until });
                }
                Some(_) => events.push(Event::Left(Arc::clone(&change.key))),
                None => {}
            },
            _ => {}
        }
    }
}

impl Rows {
    /// Applies the changes that are newer than the known rows; returns them with the content that
    /// they replace.
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
            let change = Change { content: usable(&change.key, change.content), ..change };
            self.newest = self.newest.max(change.revision);
            self.rows.insert(Arc::clone(&change.key), change.clone());
            changed.push((change, before));
        }
        self.revision = self.revision.max(batch.revision);
        if batch.full {
            self.listed = true;
            self.compacted = self.compacted.max(batch.revision);
        }
        self.compact();
        changed
    }

    fn remove_unlisted(&mut self, batch: &Batch) -> Vec<(Change, Option<Content>)> {
        let listed: HashSet<&str> =
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
        if !changed.is_empty() {
            self.newest = self.newest.max(batch.revision);
        }
        changed
    }

    fn compact(&mut self) {
        let mut removed: Vec<u64> = self
            .rows
            .values()
            .filter(|change| change.content == Content::Removed)
            .map(|change| change.revision)
            .collect();
        if removed.len() <= MAX_TOMBSTONES {
            return;
        }
        removed.sort_unstable();
        let until = removed[removed.len() - MAX_TOMBSTONES / 2];
        self.rows.retain(|_, change| change.content != Content::Removed || change.revision > until);
        self.compacted = self.compacted.max(until);
    }
}

/// The content, or why it can't be used. Peers of other versions may send what the store's reader
/// would not.
fn usable(key: &str, content: Content) -> Content {
    let reason = match &content {
        Content::Upstream(upstream) if *upstream.id != *key => {
            Some(format!("the id is `{}`", upstream.id))
        }
        Content::Upstream(upstream) => upstream.defect(),
        Content::Unreadable(reason) if reason.len() > MAX_REASON_BYTES => Some(reason.to_string()),
        _ => None,
    };
    match reason {
        Some(mut reason) => {
            reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
            Content::Unreadable(reason.into())
        }
        None => content,
    }
}

/// The event of a row that can't be used; `None` if it couldn't for the same reason before: another
/// writer may write it again and again.
fn unreadable(change: &Change, before: Option<Content>, was_used: bool) -> Option<Event> {
    let Content::Unreadable(reason) = &change.content else {
        return None;
    };
    let is_known = !was_used && before.as_ref() == Some(&change.content);
    let (key, reason) = (Arc::clone(&change.key), Arc::clone(reason));
    (!is_known).then_some(Event::Unreadable { key, reason, was_used })
}
