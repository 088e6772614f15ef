//! Bodies of requests, in segments that are counted as they are read.

use crate::core::Core;
use crate::memory::{Full, Hold, Owner, Purpose};
use bytes::{Bytes, BytesMut};
use http1::{Error, Framing, Reader, Request};
use std::rc::Rc;
use tokio::io::AsyncRead;

/// The largest segment. All large ones have this size, so that memory which one body leaves fits the
/// next.
const SEGMENT_BYTES: usize = 64 * 1024;
/// The first segment of a body of unknown length.
const FIRST_SEGMENT_BYTES: usize = 2 * 1024;
/// What a request costs beside its head and body: task, place among its connection's responses and
/// log record.
const REQUEST_BYTES: u64 = 4 * 1024;
/// The part of it that is in use until the response is written.
const PENDING_BYTES: u64 = 512;
/// Copies of a request's head: the one that was read, and the one that is sent.
const HEADS: u64 = 2;

/// The body of a request.
#[derive(Debug)]
pub struct Content {
    segments: Vec<Bytes>,
    hold: Hold,
}

/// Why a body could not be read.
#[derive(Debug)]
pub enum Failure {
    /// The connection or the framing is broken, or the body is too large.
    Unreadable(Error),
    /// Its memory is needed for others, or there is none.
    Full,
}

impl Content {
    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.segments.iter().map(Bytes::len).sum()
    }

    /// The bytes, in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// What the request holds.
    pub fn hold(&self) -> &Hold {
        &self.hold
    }

    /// Separates what is in use until the response is written, the id of `id_length` bytes among it.
    pub fn split_pending(&mut self, id_length: usize) -> Hold {
        self.hold.split(PENDING_BYTES + id_length as u64)
    }
}

/// Reads the body that follows `head`, of at most `limit` bytes.
///
/// # Errors
///
/// [`Failure`]; the request has not run.
pub async fn read<Stream>(
    core: &Core,
    owner: &Rc<Owner>,
    reader: &mut Reader<Stream>,
    head: &Request,
    limit: u64,
) -> Result<Content, Failure>
where
    Stream: AsyncRead + Unpin,
{
    let memory_bytes = core.settings().memory_bytes;
    let hold = Hold::new(&core.memory, owner, Purpose::Upload, core.clock, memory_bytes);
    let expected = match head.framing {
        Framing::Length(length) if length > limit => {
            return Err(Failure::Unreadable(Error::BodyTooLarge { limit }));
        }
        Framing::Length(length) => Some(length),
        _ => None,
    };
    let mut body = Body { segments: Vec::new(), last: BytesMut::new(), length: 0, expected, hold };
    body.hold.grow(REQUEST_BYTES + HEADS * head.size() as u64).await?;
    loop {
        let piece = tokio::select! {
            biased;
            () = owner.refused() => return Err(Failure::Full),
            piece = reader.data() => piece.map_err(Failure::Unreadable)?,
        };
        let Some(piece) = piece else {
            return Ok(body.complete());
        };
        if body.length + piece.len() as u64 > limit {
            return Err(Failure::Unreadable(Error::BodyTooLarge { limit }));
        }
        tokio::select! {
            biased;
            () = owner.refused() => return Err(Failure::Full),
            added = body.add(&piece) => added?,
        }
    }
}

/// A body that is not complete.
struct Body {
    segments: Vec<Bytes>,
    last: BytesMut,
    length: u64,
    expected: Option<u64>,
    hold: Hold,
}

impl Body {
    async fn add(&mut self, mut piece: &[u8]) -> Result<(), Failure> {
        while !piece.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.begin_segment(piece.len()).await?;
            }
            let room = self.last.capacity() - self.last.len();
            let (now, later) = piece.split_at(piece.len().min(room));
            self.last.extend_from_slice(now);
            self.length += now.len() as u64;
            piece = later;
        }
        Ok(())
    }

    /// The length of a segment follows from the bytes that are sure to come or have come, so that a
    /// body of which little is sent costs little.
    async fn begin_segment(&mut self, pending: usize) -> Result<(), Failure> {
        let expected = match self.expected {
            Some(expected) => usize::try_from(expected - self.length).unwrap_or(usize::MAX),
            None => usize::MAX,
        };
        let grown = (self.length as usize).max(FIRST_SEGMENT_BYTES).max(pending);
        let capacity = grown.min(SEGMENT_BYTES).min(expected);
        self.hold.grow(capacity as u64).await?;
        let full = std::mem::replace(&mut self.last, BytesMut::with_capacity(capacity));
        if !full.is_empty() {
            self.segments.push(full.freeze());
        }
        Ok(())
    }

    fn complete(mut self) -> Content {
        if !self.last.is_empty() {
            self.segments.push(self.last.freeze());
        }
        self.hold.complete();
        Content { segments: self.segments, hold: self.hold }
    }
}

impl From<Full> for Failure {
    fn from(_: Full) -> Failure {
        Failure::Full
    }
}
