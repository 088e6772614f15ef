//! Which entry VMs a caller may use, and for how long.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// A caller's look-up request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    /// The caller's block: the upper 24 bits of its IPv4 address.
    pub block: u32,
    /// The service to reach.
    pub service: Arc<str>,
    /// The token of the previous response; `None` at the first look-up.
    pub token: Option<Arc<str>>,
}

/// The response to a look-up, which the caller may cache until its lease ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// Entry VMs in the order in which to try them.
    pub entries: Vec<Entry>,
    /// The lease: how long the response may be used, in milliseconds.
    pub lease_ms: u64,
    /// To be sent with the next look-up, which renews the lease.
    pub token: Arc<str>,
    /// The prefix of order ids; the caller appends `~` and a name of its own.
    pub order_prefix: Arc<str>,
    /// The configuration version that the response is based on.
    pub version: u64,
}

/// An entry VM of a look-up response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The address of the VM's callers' listener.
    pub address: SocketAddr,
}
