//! Messages between VMs: heartbeats, configuration, relayed orders.
//!
//! Every message is a bounded MessagePack body over HTTP, admitted only with the peers' key. The
//! behaviour of a node stands behind [`Handler`] and the network behind [`Transport`], so tests
//! replace both with [`fake`]. See docs/MEMBERSHIP.md.

pub mod fake;
pub mod http;
pub mod local;
pub mod message;
pub mod relay;

mod blob;
mod transport;

pub use blob::Blob;
pub use message::{Message, Reply};
pub use relay::Relay;
pub use transport::{Failure, Handler, Transport};
