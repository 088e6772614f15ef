//! The operators' interface and its client.
//!
//! Operators choose the preset in force and plan drains; they never steer single requests. Each
//! change is one transaction on the version that the operator has read. Of two concurrent changes
//! one is committed, and the other is refused as a conflict that names the winner. See
//! docs/OPERATORS.md.

mod api;
mod client;
pub mod fake;
mod key;
mod path;
mod router;
pub mod wire;

pub use api::Api;
pub use client::Client;
pub use key::Key;
pub use router::{metrics_router, router};
pub use wire::Refusal;
