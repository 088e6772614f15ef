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

/// The bytes of an answer, as they arrive; an error means that the answer was cut.
pub type Body = Pin<Box<dyn Stream<Item = Result<Bytes, Failure>> + Send>>;

/// One attempt to have one upstream serve a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The upstream's name, for the log.
    pub upstream: Arc<str>,
    /// Where the upstream takes requests.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// The path and query, beginning with `/`.
    pub path: Arc<str>,
    /// The headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long the upstream may take.
    pub budget: Millis,
}

/// The head of an upstream's answer and its body to come.
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body; its end is clean only if every declared byte arrived.
    pub body: Body,
}

/// Why an attempt brought no answer, by what it says about the request's execution.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// No connection was opened, so the upstream certainly didn't run the request.
    #[snafu(display("not sent: {context}"))]
    NotSent {
        /// What was tried.
        context: String,
    },
    /// The connection broke after bytes may have been sent; the request may have run.
    #[snafu(display("broken: {context}"))]
    Broken {
        /// What was seen.
        context: String,
    },
    /// The upstream answered that it sheds load; it may have run the request before.
    #[snafu(display("shed by the upstream"))]
    Shed {
        /// When the upstream wants to be asked again.
        retry_after: Option<Millis>,
    },
}

/// The way to upstreams. Dropping a call or a reply's body cancels the attempt.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends a request to one upstream, once, and returns the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] only if no byte of the request can have reached the upstream.
    async fn send(&self, attempt: Attempt) -> Result<Reply, Failure>;

    /// Asks an upstream for its load report, which may lag or mislead.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no report arrives.
    async fn load(&self, address: SocketAddr) -> Result<Load, Failure>;
}
