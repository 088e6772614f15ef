use snafu::Snafu;
use std::io;

/// Why a message could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The peer closed the connection before the first byte of a message.
    #[snafu(display("the connection was closed between messages"))]
    Closed,
    /// The peer closed the connection inside a message.
    #[snafu(display("the connection was closed inside a message"))]
    Truncated,
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Broken {
        /// The system's error.
        source: io::Error,
    },
    /// The head is longer than allowed.
    #[snafu(display("the head is longer than {limit} bytes"))]
    HeadTooLarge {
        /// The most bytes of a head.
        limit: usize,
    },
    /// The body is longer than allowed.
    #[snafu(display("the body is longer than {limit} bytes"))]
    BodyTooLarge {
        /// The most bytes of a body.
        limit: u64,
    },
    /// The bytes are not an HTTP/1.1 message, or its framing is ambiguous.
    #[snafu(display("invalid HTTP/1.1 message: {reason}"))]
    Malformed {
        /// The fault in the message.
        reason: &'static str,
    },
}
