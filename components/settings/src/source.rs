use serde::{Deserialize, Serialize};

/// The text of a declaration's files, before it is parsed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// `deployment.ini`.
    pub deployment: String,
    /// `presets.ini`.
    pub presets: String,
    /// `drains.ini`.
    pub drains: String,
}
