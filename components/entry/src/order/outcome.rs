use bytes::Bytes;
use errors::Error;
use upstream::{HeaderMap, StatusCode};

/// How an order ended; retries of it get this result.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// The order ran, and its response is stored.
    Stored(StoredResponse),
    /// The order ran, and its response was too large to store.
    Ran(ResponseDigest),
    /// The order was sent, and whether it ran is unknown.
    Unknown(Error),
}

/// A response that is stored for retries.
#[derive(Clone, Debug)]
pub(crate) struct StoredResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// A summary of a response that is too large to store.
#[derive(Clone, Debug)]
pub(crate) struct ResponseDigest {
    pub(crate) status: StatusCode,
    pub(crate) size: u64,
    pub(crate) hash: blake3::Hash,
}
