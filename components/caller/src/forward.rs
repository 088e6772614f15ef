use bytes::Bytes;
use clock::Millis;
use errors::Error;
use futures_util::Stream;
use salvo::http::{HeaderMap, Method, StatusCode};
use std::pin::Pin;
use std::sync::Arc;

/// The body of a response; an error closes the connection, so the caller sees it truncated.
pub type Body = Pin<Box<dyn Stream<Item = Result<Bytes, Error>> + Send>>;

/// A caller's request, parsed and within [`crate::limits`].
#[derive(Clone, Debug)]
pub struct Request {
    /// The request's id, if the caller gave one.
    pub id: Option<Arc<str>>,
    /// The caller's block: the upper 24 bits of its IPv4 address.
    pub block: u32,
    /// The service.
    pub service: Arc<str>,
    /// The method.
    pub method: Method,
    /// The path and query at the service, beginning with `/`.
    pub path: Arc<str>,
    /// The headers to forward, without hop-by-hop ones.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The time until the caller's deadline; `None` for the service's default deadline.
    pub budget: Option<Millis>,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The order's id, if the caller gave one.
    pub order: Option<Arc<str>>,
}

/// The response to a request.
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Body,
}
