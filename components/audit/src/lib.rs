//! Finds faults of a configuration before operators send it, and what differs from the one in force.
//!
//! Nothing here does I/O or knows the notation of a file: the border decodes a [`Draft`] and says by a
//! [`Vocabulary`] how the file calls things. See docs/design/check.md.

mod accounts;
mod change;
mod context;
mod draft;
mod finding;
mod inspect;
mod limits;
mod routes;
mod rule;
mod services;

pub use change::{Change, Difference, Keys, compare};
pub use context::Context;
pub use draft::{Draft, Entry};
pub use finding::{Field, Finding, Kind, Place};
pub use inspect::inspect;
pub use rule::{Rule, Severity};

use steering::routing::Effect;

/// The words that a file uses.
pub trait Vocabulary {
    /// The list that holds the entries.
    fn entries(&self) -> &'static str;
    /// The word for a kind of entry.
    fn kind(&self, kind: Kind) -> &'static str;
    /// The name of a field.
    fn field(&self, field: Field) -> &'static str;
    /// The word for how often a request may run.
    fn effect(&self, effect: Effect) -> &'static str;
    /// The weight of a part of a split as it is written.
    fn weight(&self, weight: u32) -> String;
    /// A version as it is written.
    fn version(&self, version: u64) -> String;
}
