//! The process of an entry VM that routes by host and path.
//!
//! It serves callers, forwards requests to upstreams, follows the store and exchanges heartbeats
//! with peers, all on one thread. `steering` has the decision logic; [`Protocol`] and [`Source`]
//! adapt names and formats of the platform. See docs/DATAPATH.md.

mod accounts;
mod attempt;
mod caps;
mod ledger;
mod responses;

mod changes;
mod closing;
mod core;
mod delivery;
mod protocol;

mod connection;
mod connector;
mod crowd;
mod endpoint;
mod follow;
mod forward;
mod health;
mod heartbeat;
mod identity;
mod inbound;
mod lookup;
mod memory;
mod observation;
mod origin;
mod outcome;
mod pipe;
mod placement;
mod pool;
mod process;
mod receiving;
mod reply;
mod reporting;
mod settings;
mod settlement;
mod simple_http;
mod source;
mod statement;
mod upload;
mod upstreams;

pub use ledger::{Entry, Ledger, Written};
pub use process::Gateway;
pub use protocol::{Load, LookupQuery, Protocol, WireNames};
pub use settings::{Bounds, Caps, Listen, Settings};
pub use source::{Poll, Source, Update};
