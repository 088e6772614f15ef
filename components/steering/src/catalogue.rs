//! What a VM believes of configuration, evacuations and upstreams, kept from two change feeds.
//!
//! Batches come from the store or from a neighbour, in any order and more than once; a row only
//! moves forward by its revision, and a configuration only by its version. See
//! docs/DATAPATH.md, "The catalogue".

mod state;

pub use state::Catalogue;

use crate::routing::{Configuration, Upstream};
use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A stream of changes with its own cursor.
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

/// What a row holds now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
    /// A configuration.
    Configuration(Arc<Configuration>),
    /// A failure domain that is evacuated.
    Evacuation(Arc<str>),
    /// An upstream.
    Upstream(Arc<Upstream>),
    /// Nothing: the row was removed.
    Removed,
    /// Bytes from another writer that can't be understood, and why.
    Unreadable(Arc<str>),
}

/// A row that changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The row's key within its feed.
    pub key: Arc<str>,
    /// The revision of the change; it grows with every change of any row.
    pub revision: u64,
    /// What the row holds now.
    pub content: Content,
}

/// Changes of one feed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The feed.
    pub feed: Feed,
    /// Whether these are all rows, so that any other row is gone.
    #[serde(rename = "whole")]
    pub full: bool,
    /// The revision up to which this batch tells everything.
    pub revision: u64,
    /// The rows.
    pub changes: Vec<Change>,
}

/// A change of belief, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration came into force.
    Configured {
        /// Its version.
        version: u64,
    },
    /// A failure domain is evacuated.
    Evacuated(Arc<str>),
    /// A failure domain takes work again.
    Restored(Arc<str>),
    /// An upstream is new, or started again.
    Joined(Arc<str>),
    /// An upstream is leaving.
    Leaving(Arc<str>),
    /// An upstream is gone.
    Left(Arc<str>),
    /// An upstream's entry vanished around an outage of the store and is used for a while longer.
    Lapsed {
        /// The upstream.
        id: Arc<str>,
        /// When it counts as gone.
        until: Millis,
    },
    /// A row could not be understood.
    Unreadable {
        /// The row.
        key: Arc<str>,
        /// Why.
        reason: Arc<str>,
    },
}
