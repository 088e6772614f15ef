//! A secret shared by the two ends of a connection. See docs/SETTINGS.md for where the secrets come
//! from.

use std::fmt;
use std::sync::Arc;

/// A secret. Its `Debug` output hides the text, so that it never appears in a log.
#[derive(Clone)]
pub struct Secret {
    text: Arc<str>,
    digest: blake3::Hash,
}

impl Secret {
    /// The secret with the text `text`.
    pub fn new(text: Arc<str>) -> Secret {
        let digest = blake3::hash(text.as_bytes());
        Secret { text, digest }
    }

    /// The text, for the end that presents the secret.
    pub fn reveal(&self) -> &str {
        &self.text
    }

    /// Whether `presented` is this secret. Digests are compared, in constant time.
    pub fn matches(&self, presented: &[u8]) -> bool {
        blake3::hash(presented) == self.digest
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
