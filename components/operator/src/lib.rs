//! The operators' interface and its client.
//!
//! Operators choose the preset in force and plan drains; they never steer a request. Each act is
//! one transaction on the version that the operator read, so of two that race one wins and the
//! other learns who won. See docs/OPERATORS.md.

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
