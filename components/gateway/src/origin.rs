//! Where changes come from.

use std::sync::Arc;

/// Where a batch of changes comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The store.
    Store,
    /// The peer of this name.
    Peer(Arc<str>),
}

impl Origin {
    /// The value of the log key `from`.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Origin::Store => "store",
            Origin::Peer(_) => "neighbour",
        }
    }
}
