//! The data plane: look-ups, forwarding, limits, retries, hedges and orders.
//!
//! An [`Entry`] reads one immutable snapshot and waits for the platform only to claim an order.
//! See docs/FORWARDING.md and docs/ORDERS.md.

mod attempt;
mod config;
mod core;
mod download;
mod entry;
pub mod fake;
mod fetch;
mod gate;
mod job;
mod order;
mod pool;
mod reply;
mod report;
mod view;

pub use config::Config;
pub use entry::Entry;
pub use order::{Id, Prefix};
