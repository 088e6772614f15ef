//! The one clock of the system, in milliseconds.
//!
//! Every part takes its time from a [`Clock`], so tests run in virtual time by pausing Tokio's
//! timer. See docs/DESIGN.md, "Time".

mod clock;
mod millis;

pub use crate::clock::Clock;
pub use millis::Millis;
