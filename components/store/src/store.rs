use crate::Failure;
use async_trait::async_trait;
use std::sync::Arc;

/// The platform's object store, used for bodies that never change once written.
#[async_trait]
pub trait Store: Send + Sync {
    /// Writes `body` under its digest and returns the digest. The write is idempotent.
    ///
    /// # Errors
    ///
    /// [`Failure`] when the platform doesn't confirm the write.
    async fn put(&self, body: Vec<u8>) -> Result<Arc<str>, Failure>;

    /// Reads the body with this digest; `None` if it isn't stored.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no response arrives or the body doesn't match its digest.
    async fn get(&self, digest: &str) -> Result<Option<Vec<u8>>, Failure>;
}

/// The digest under which `body` is stored: BLAKE3, in hexadecimal.
pub fn digest(body: &[u8]) -> Arc<str> {
    blake3::hash(body).to_hex().as_str().into()
}
