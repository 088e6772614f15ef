//! The callers' listener: look-ups, leases and requests.
//!
//! The router parses requests, enforces their limits and writes the responses; [`Handler`] takes
//! every decision. The protocol is described in docs/CALLERS.md.

mod block;
pub mod client;
mod forward;
mod handler;
pub mod header;
pub mod limits;
pub mod lookup;
mod parse;
mod refusal;
mod router;

pub use block::{format_block, parse_block};
pub use forward::{Body, Reply, Request};
pub use handler::Handler;
pub use parse::is_name;
pub use refusal::Refusal;
pub use router::router;
pub use salvo::http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
