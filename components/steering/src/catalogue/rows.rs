//! The rows of a feed, ordered by era and revision.

use super::{Batch, Change, Content, Event};
use crate::routing::Readiness;
use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Removed rows that are kept, so that peers can fetch the removals; half of them are dropped above
/// this.
const MAX_TOMBSTONES: usize = 512;
/// Most bytes of the reason why an entry can't be used: errors quote values, and peers get them too.
const MAX_REASON_BYTES: usize = 120;

/// The known rows of a feed.
#[derive(Debug, Default)]
pub struct Rows {
    /// Era of all revisions.
    pub era: u64,
    /// Revision up to which all changes are known.
    pub revision: u64,
    /// Revision of the newest change.
    pub newest: u64,
    /// Whether a full listing was received.
    pub listed: bool,
    pub rows: HashMap<Arc<str>, Change>,
    /// Changes up to this revision may be unknown: they were made before a full listing, which has
    /// no removed rows, or their removals were dropped.
    pub compacted: u64,
}

impl Rows {
    /// Applies the changes that are newer than the known rows; returns them with the content that
    /// they replace.
    pub fn merge(&mut self, batch: Batch) -> Vec<(Change, Option<Content>)> {
        match batch.era.cmp(&self.era) {
            Ordering::Less => return Vec::new(),
            // What the copy lacks from before the era is unknown.
            Ordering::Greater if !batch.full => return Vec::new(),
            Ordering::Greater => return self.replace(batch),
            Ordering::Equal => {}
        }
        let is_outdated = batch.full && batch.revision < self.revision;
        let mut changed = Vec::new();
        if batch.full && !is_outdated {
            changed.extend(self.remove_unlisted(&batch));
        }
        for change in batch.changes {
            let known = self.rows.get(&change.key);
            let is_newer = match known {
                Some(known) => known.revision < change.revision,
                // All changes up to here are known, so that the row was removed since.
                None => batch.full || self.revision < change.revision,
            };
            let is_later = known.is_some_and(|known| is_later(&change, known));
            if !is_later && (is_outdated || !is_newer) {
                continue;
            }
            let before = known.map(|known| known.content.clone());
            let change = Change { content: usable(&change.key, change.content), ..change };
            self.newest = self.newest.max(change.revision);
            self.rows.insert(Arc::clone(&change.key), change.clone());
            changed.push((change, before));
        }
        if is_outdated {
            return changed;
        }
        self.revision = self.revision.max(batch.revision);
        if batch.full {
            self.listed = true;
            self.compacted = self.compacted.max(batch.revision);
        }
        self.compact();
        changed
    }

    /// Takes the rows of a full listing in place of those of an earlier era.
    fn replace(&mut self, batch: Batch) -> Vec<(Change, Option<Content>)> {
        let mut before = std::mem::take(&mut self.rows);
        let mut changed = Vec::new();
        self.newest = 0;
        for change in batch.changes {
            let known = before.remove(&change.key).map(|known| known.content);
            let change = Change { content: usable(&change.key, change.content), ..change };
            self.newest = self.newest.max(change.revision);
            self.rows.insert(Arc::clone(&change.key), change.clone());
            if known.as_ref() != Some(&change.content) {
                changed.push((change, known));
            }
        }
        let unlisted = before.into_values().filter(|known| known.content != Content::Removed);
        changed.extend(unlisted.map(|known| {
            let removal =
                Change { key: known.key, revision: batch.revision, content: Content::Removed };
            (removal, Some(known.content))
        }));
        self.era = batch.era;
        self.revision = batch.revision;
        self.compacted = batch.revision;
        self.listed = true;
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

/// Whether `change` says what came after a known row of the same revision: a peer keeps what an older
/// copy of the store lacks under the revision of the copy's row.
fn is_later(change: &Change, known: &Change) -> bool {
    let (Content::Upstream(new), Content::Upstream(old)) = (&change.content, &known.content) else {
        return false;
    };
    let has_left = new.readiness == Readiness::Leaving && old.readiness == Readiness::Ready;
    change.revision == known.revision
        && (new.incarnation > old.incarnation || new.incarnation == old.incarnation && has_left)
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
pub fn unreadable(change: &Change, before: Option<Content>, was_used: bool) -> Option<Event> {
    let Content::Unreadable(reason) = &change.content else {
        return None;
    };
    let is_known = !was_used && before.as_ref() == Some(&change.content);
    let (key, reason) = (Arc::clone(&change.key), Arc::clone(reason));
    (!is_known).then_some(Event::Unreadable { key, reason, was_used })
}
