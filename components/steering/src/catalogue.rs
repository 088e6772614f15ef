//! A VM's copy of the configuration, evacuations and upstreams, maintained from two change feeds.
//!
//! Batches come from the store or from a peer, in any order and possibly more than once. A row only
//! moves forward by its era and revision, and the configuration only by its version. See
//! docs/DATAPATH.md, "The catalogue", and docs/design/eras.md.

mod in_force;
mod recovery;
mod rows;
mod state;

pub use recovery::REWRITE_GRACE;
pub use state::Catalogue;

use crate::routing::{Configuration, Upstream};
use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The greatest revision. A store that counts changes doesn't get there, and JSON numbers are exact
/// up to it.
pub const MAX_REVISION: u64 = 1 << 53;

/// A moment in the history of the store. The store begins an era when it comes back from an older
/// copy of itself: it gives out revisions again, so that they only compare within an era.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The era.
    pub era: u64,
    /// The revision within the era.
    pub revision: u64,
}

/// A stream of changes, read with a cursor of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Feed {
    /// Configuration and evacuations, written by operators.
    Operators,
    /// Upstreams, written by themselves.
    Upstreams,
}

impl Feed {
    /// Both feeds.
    pub const ALL: [Feed; 2] = [Feed::Operators, Feed::Upstreams];

    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Feed::Operators => "operators",
            Feed::Upstreams => "upstreams",
        }
    }
}

/// Content of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// The configuration.
    Configuration(Arc<Configuration>),
    /// A failure domain that is evacuated.
    Evacuation(Arc<str>),
    /// An upstream.
    Upstream(Arc<Upstream>),
    /// None, since the row was removed.
    Removed,
    /// An entry of another writer that can't be decoded or used, and why.
    Unreadable(Arc<str>),
}

/// A changed row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The row's key within its feed.
    pub key: Arc<str>,
    /// Revision of the change. It increases with every change of any row of the store.
    pub revision: u64,
    /// The content after the change.
    pub content: Content,
}

/// Changes of one feed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The feed.
    pub feed: Feed,
    /// Whether this is a full listing, so that all other rows are removed.
    #[serde(rename = "whole")]
    pub full: bool,
    /// Revision up to which this batch contains all changes.
    pub revision: u64,
    /// The changed rows, or all rows of a full listing.
    pub changes: Vec<Change>,
    /// The era of all revisions. Peers of earlier versions send none and read only batches without
    /// one, which are of the first era.
    #[serde(default, skip_serializing_if = "is_first")]
    pub era: u64,
}

fn is_first(era: &u64) -> bool {
    *era == 0
}

impl Batch {
    /// Whether the era and all revisions are within [`MAX_REVISION`].
    pub fn has_valid_revisions(&self) -> bool {
        let changes = self.changes.iter().map(|change| change.revision);
        changes.chain([self.revision, self.era]).all(|revision| revision <= MAX_REVISION)
    }

    /// The moment up to which this batch contains all changes.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }
}

/// A change of the catalogue, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A new version of the configuration is in force.
    Configured {
        /// Its version.
        version: u64,
        /// The number of its routes.
        routes: usize,
        /// The number of routes that are limited to other regions than before, with those that
        /// were not limited before, or are not any more.
        regions_changed: usize,
    },
    /// A failure domain is evacuated.
    Evacuated(Arc<str>),
    /// The evacuation of a failure domain has ended.
    Restored(Arc<str>),
    /// An upstream registered, restarted or became ready.
    Joined(Arc<str>),
    /// An upstream takes no new requests.
    Leaving(Arc<str>),
    /// An upstream is removed.
    Left(Arc<str>),
    /// An upstream's entry vanished within the outage grace; the upstream is used for a while
    /// longer.
    Lapsed {
        /// The upstream.
        id: Arc<str>,
        /// When the upstream is removed, unless it registers again.
        until: Millis,
    },
    /// The store came back from an older copy of itself, and its rows replace those of the feed.
    Recovered {
        /// The feed.
        feed: Feed,
        /// The era that has begun.
        era: u64,
        /// Evacuations and upstreams that are kept as they were known until they are written again.
        kept: usize,
    },
    /// A row can't be decoded or used, for another reason than before.
    Unreadable {
        /// The row.
        key: Arc<str>,
        /// Why.
        reason: Arc<str>,
        /// Whether it was the entry of an upstream that was in use.
        was_used: bool,
    },
}
