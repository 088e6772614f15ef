use bytes::Bytes;
use errors::Error;
use upstream::{HeaderMap, StatusCode};

/// How an order ended, as a repeat is told.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    /// It ran, and its answer is kept.
    Kept(Answer),
    /// It ran, and its answer was too large to keep.
    Ran(Digest),
    /// It was sent, and what became of it isn't known.
    Unknown(Error),
}

/// A kept answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What is kept of a large answer.
#[derive(Clone, Debug)]
pub(crate) struct Digest {
    pub(crate) status: StatusCode,
    pub(crate) size: u64,
    pub(crate) hash: blake3::Hash,
}
