//! Relays orders to their owner, the one `entryd` that may send them.

use crate::{Blob, Failure};
use async_trait::async_trait;
use clock::Millis;
use errors::Kind;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The maximum size of an encoded order, in bytes.
pub const MAX_ORDER: usize = 1 << 20;

/// The maximum size of an encoded outcome, in bytes.
pub const MAX_OUTCOME: usize = 8 << 20;

/// A non-idempotent request that is relayed to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The order's id; its prefix names the owner's VM and incarnation.
    pub id: Arc<str>,
    /// The name of the service.
    pub service: Arc<str>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path below the service, with its query.
    pub path: Arc<str>,
    /// The request's headers.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Blob,
    /// The caller's block, for the log and the choice of region.
    pub block: u32,
    /// Time remaining until the caller's deadline; a duration, since the clocks of two VMs differ.
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

/// The result of a relayed order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream's complete response.
    Answered(Response),
    /// The owner refused the order, or doesn't know whether it ran.
    Refused(Refusal),
}

/// An upstream's response to an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The response's headers.
    pub headers: Vec<Header>,
    /// The complete body.
    pub body: Blob,
}

/// Why an order has no response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind, which determines the response to the caller and says whether the order ran.
    pub kind: Kind,
    /// The owner's error message.
    pub detail: Arc<str>,
}

/// Sends orders to other VMs' `entryd`.
#[async_trait]
pub trait Relay: Send + Sync {
    /// Sends `order` to its owner at `to` and waits for the outcome.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] when the owner certainly didn't receive the order, [`Failure::Refused`]
    /// when it refused the message, and [`Failure::Lost`] when the order may have run.
    async fn relay(&self, to: SocketAddr, order: Order) -> Result<Outcome, Failure>;
}

/// Executes the orders that other VMs relay to this one.
#[async_trait]
pub trait Executor: Send + Sync {
    /// Runs `order` at most once and returns its outcome.
    async fn run(&self, order: Order) -> Outcome;
}
