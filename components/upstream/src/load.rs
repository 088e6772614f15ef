//! Load reports of upstreams.

use serde::{Deserialize, Serialize};

/// The path under which an upstream reports its load.
pub const PATH: &str = "/load";

/// An upstream's load report; it may be stale or wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests being executed.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Whether the upstream is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}
