//! HTTP/1.1 messages over byte streams.
//!
//! `salvo` and `reqwest` sit on `hyper`, which serves pipelined requests one after the other and
//! hides when a connection was closed, so the data path parses heads with `httparse` and frames
//! bodies itself. See docs/DATAPATH.md, "Why not hyper".

mod chunked;
mod client;
pub mod encode;
mod error;
mod framing;
mod head;
mod headers;
pub mod net;
mod reader;

pub use client::{Call, Client, Failure, Limits};
pub use error::Error;
pub use framing::Framing;
pub use head::{Request, Response};
pub use headers::{Header, Headers, MAX_FIELDS_SIZE};
pub use reader::{Bounds, MAX_BUFFERED_BYTES, Reader};
