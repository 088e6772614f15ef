//! A secret that two sides share. See docs/SETTINGS.md for where the secrets come from.

use std::fmt;
use std::sync::Arc;

/// A secret; it never shows in a log.
#[derive(Clone)]
pub struct Secret {
    text: Arc<str>,
    digest: blake3::Hash,
}

impl Secret {
    /// The secret that reads `text`.
    pub fn new(text: Arc<str>) -> Secret {
        let digest = blake3::hash(text.as_bytes());
        Secret { text, digest }
    }

    /// The text, for the side that presents it.
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// Whether `presented` is this secret; digests are compared, in constant time.
    pub fn matches(&self, presented: &[u8]) -> bool {
        blake3::hash(presented) == self.digest
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
