//! Load reports of upstreams.

use serde::{Deserialize, Serialize};

/// The path under which an upstream reports its load.
pub const PATH: &str = "/load";

/// What an upstream says of itself; it may lag or mislead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that it runs now.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Whether it is about to leave and wants no new work.
    #[serde(default)]
    pub leaving: bool,
}
