//! Messages between VMs: heartbeats, configuration, relayed orders.
//!
//! Every message is a MessagePack body of bounded size over HTTP, accepted only with the peers'
//! key. [`Handler`] processes messages and [`Transport`] sends them, so that tests can replace the
//! network with [`fake`]. See docs/MEMBERSHIP.md.

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
