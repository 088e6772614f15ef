use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A fault of the in-memory platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The table, the object store and the VM list are unreachable for every client.
    Down,
    /// Only the table is unreachable.
    TableDown,
    /// Only the VM list is unreachable.
    DirectoryDown,
    /// The platform is unreachable for the client of this name.
    Cut(Arc<str>),
    /// Every operation is delayed by this time.
    Slow(Millis),
    /// The next `n` commits take effect, but their responses are lost.
    LoseAnswers(u32),
    /// The next `n` commits are lost before they take effect.
    LoseRequests(u32),
    /// The VM list shows changes only after this time.
    Lag(Millis),
}
