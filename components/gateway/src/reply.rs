//! Responses to callers.

use crate::memory::{Hold, Streaming};
use crate::pipe::{self, Part};
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::Headers;
use std::cell::Cell;
use std::rc::Rc;

/// A response to a caller.
#[derive(Debug)]
pub struct Reply {
    /// The status code.
    pub status: u16,
    /// Header fields, without those for connection and framing, which the writer adds.
    pub headers: Headers,
    /// The body.
    pub body: Body,
}

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body in memory.
    Full(Bytes),
    /// A complete body of an upstream. It counts as memory of the connection, like the head.
    Counted(Bytes, Hold),
    /// A streamed body; without a [`Piece::End`], it is truncated.
    Stream {
        /// The number of bytes, if known.
        length: Option<u64>,
        /// The pieces.
        pieces: pipe::Receiver,
        /// Why the body can't be completed, once that is known.
        failure: Rc<Cell<Option<Kind>>>,
        /// What the head costs.
        head: Hold,
    },
    /// No body, but possibly its length, as in a response to HEAD.
    Empty {
        /// The value of `Content-Length`, if the upstream sent it.
        length: Option<u64>,
        /// What the head costs.
        head: Hold,
    },
}

/// A part of a streamed body.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Part),
    /// The end of a complete body.
    End,
    /// The end of a truncated one, which the connection ends with.
    Broken(Streaming),
}

impl Reply {
    /// An error response that this VM generates itself, rather than an upstream.
    pub fn failure(kind: Kind, retry_after: Option<Millis>) -> Reply {
        let response = errors::response(kind);
        let mut headers = Headers::default();
        headers.push("Content-Type", "application/json");
        headers.push("X-Ran", response.ran.as_str());
        if let Some(span) = retry_after.or(response.retry_after) {
            headers.push("Retry-After", format!("{:.3}", span.as_secs_f64()));
        }
        let text = format!(r#"{{"error":"{kind}","ran":"{}"}}"#, response.ran.as_str());
        Reply { status: response.status, headers, body: Body::Full(text.into()) }
    }
}
