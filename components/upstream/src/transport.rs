use crate::load::Load;
use async_trait::async_trait;
use bytes::Bytes;
use clock::Millis;
use futures_util::Stream;
use reqwest::header::HeaderMap;
use reqwest::{Method, StatusCode};
use snafu::Snafu;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

/// The body of a response as it arrives; an error means that it is incomplete.
pub type Body = Pin<Box<dyn Stream<Item = Result<Bytes, Failure>> + Send>>;

/// One attempt of a request at one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The upstream's name, for the log.
    pub upstream: Arc<str>,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path and query, beginning with `/`.
    pub path: Arc<str>,
    /// The headers to forward.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// The timeout of the attempt, also sent to the upstream.
    pub budget: Millis,
}

/// The head of an upstream's response, and its body as a stream.
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body; it ends without an error only if every declared byte arrived.
    pub body: Body,
}

/// Why an attempt failed, by what is known about the request's execution.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// No connection was opened, so the upstream can't have executed the request.
    #[snafu(display("not sent: {context}"))]
    NotSent {
        /// The cause.
        context: String,
    },
    /// The connection broke after bytes may have been sent; the request may have been executed.
    #[snafu(display("broken: {context}"))]
    Broken {
        /// The cause.
        context: String,
    },
    /// The upstream responded with 503; it may have executed the request before.
    #[snafu(display("shed by the upstream"))]
    Shed {
        /// The time to wait before a retry, from `Retry-After`.
        retry_after: Option<Millis>,
    },
}

/// Sends requests to upstreams. Dropping the future or the reply's body cancels the attempt.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a request to one upstream, once, and returns its response.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] only if no byte of the request can have reached the upstream.
    async fn send(&self, attempt: Attempt) -> Result<Reply, Failure>;

    /// Requests an upstream's load report, which may be stale or wrong.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no report arrives.
    async fn load(&self, address: SocketAddr) -> Result<Load, Failure>;
}
