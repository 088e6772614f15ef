//! The data plane: look-ups, forwarding, limits, retries, hedges and orders.
//!
//! An [`Entry`] reads one immutable snapshot and waits for the platform only to claim an order.
//! See docs/FORWARDING.md and docs/ORDERS.md.

mod attempt;
mod core;
mod download;
mod entry;
pub mod fake;
mod fetch;
mod flight;
mod gate;
mod job;
mod limits;
mod look_up;
mod measure;
mod order;
mod poll;
mod reply;
mod report;
mod route;
mod service;
mod settings;
mod trace;
mod view;

pub use crate::settings::Settings;
pub use entry::Entry;
pub use order::{Id, Prefix};
