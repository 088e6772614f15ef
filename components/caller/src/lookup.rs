//! Which entry VMs a caller may use, and for how long.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A caller's question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The caller's block: the upper 24 bits of its IPv4 address.
    pub block: u32,
    /// The service that it wants to reach.
    pub service: Arc<str>,
    /// The token of its last answer, if it renews a lease.
    pub token: Option<Arc<str>>,
}

/// The answer to a look-up, which the caller keeps until its lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Entry VMs in the order in which to try them.
    pub entries: Vec<Entry>,
    /// How long the answer may be used, in milliseconds.
    pub lease_ms: u64,
    /// To be handed back at the renewal.
    pub token: Arc<str>,
    /// What the ids of orders should begin with, followed by `~` and a name of the caller's own.
    pub order_prefix: Arc<str>,
    /// The configuration version that the answer was made from.
    pub version: u64,
}

/// An entry VM of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The VM's name.
    pub vm: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddr,
}
