//! The relay of orders to the `entryd` that their id names as home.

use crate::{Blob, Failure};
use async_trait::async_trait;
use clock::Millis;
use errors::Kind;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The longest order that is relayed, encoded, in bytes.
pub const MAX_ORDER: usize = 1 << 20;

/// The longest outcome that is relayed back, encoded, in bytes.
pub const MAX_OUTCOME: usize = 8 << 20;

/// A non-idempotent request on its way to the one `entryd` that may send it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The order's id; its prefix names the VM and incarnation that may send it.
    pub id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path below the service, with its query.
    pub path: Arc<str>,
    /// The request's headers.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Blob,
    /// The caller's block, for the log line and the choice of region.
    pub block: u32,
    /// Time left until the caller's deadline, as a span, since the clocks of two VMs differ.
    pub budget: Millis,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The name.
    pub name: Arc<str>,
    /// The value.
    pub value: Blob,
}

/// What became of a relayed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's whole answer.
    Answered(Response),
    /// The home refused, or can't tell what became of the order.
    Refused(Refusal),
}

/// An upstream's answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The answer's headers.
    pub headers: Vec<Header>,
    /// The whole body.
    pub body: Blob,
}

/// Why an order has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind, which decides the caller's answer and says whether the order ran.
    pub kind: Kind,
    /// The home's words.
    pub detail: Arc<str>,
}

/// Carries orders to other VMs' `entryd`.
#[async_trait]
pub trait Relay: Send + Sync {
    /// Hands `order` to the home at `to` and waits for the outcome.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] when the home certainly didn't receive it, [`Failure::Lost`] when it
    /// may have run.
    async fn relay(&self, to: SocketAddr, order: Order) -> Result<Outcome, Failure>;
}

/// Executes the orders that other VMs relay to this one.
#[async_trait]
pub trait Executor: Send + Sync {
    /// Runs `order` at most once and returns what became of it.
    async fn run(&self, order: Order) -> Outcome;
}
