//! The process of an entry VM that routes by host and path.
//!
//! It answers callers, forwards to upstreams, follows the store and talks to its neighbours, all
//! on one thread. Decisions are `steering`'s; names and formats of the platform come in through
//! [`Protocol`] and [`Source`]. See docs/DATAPATH.md.

mod answers;
mod attempt;

mod changes;
mod core;
mod protocol;

mod fleet;
mod follow;
mod forward;
mod heartbeat;
mod inbound;
mod link;
mod lookup;
mod outcome;
mod place;
mod pool;
mod process;
mod reply;
mod server;
mod settings;
mod small;
mod source;
mod trace;

pub use process::Gateway;
pub use protocol::{Load, LookupQuery, Protocol, WireNames};
pub use settings::{Bounds, Listen, Settings};
pub use source::{Source, Update};
