//! The data plane: look-ups, forwarding, limits, retries, hedges and orders.
//!
//! An [`Entry`] serves requests from an immutable snapshot and needs the platform only to claim an
//! order. See docs/FORWARDING.md and docs/ORDERS.md.

mod active_attempt;
mod attempt;
mod background;
mod core;
mod download;
mod entry;
pub mod fake;
mod fetch;
mod job;
mod limit_metrics;
mod limits;
mod look_up;
mod order;
mod reply;
mod report;
mod route;
mod service;
mod settings;
mod trace;
mod tracker;
mod view;

pub use crate::settings::Settings;
pub use entry::Entry;
pub use order::{Id, Prefix};
