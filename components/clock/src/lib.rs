//! The system's clock, in milliseconds.
//!
//! All components read the time from a [`Clock`], so that tests can run in virtual time by pausing
//! Tokio's timer. See docs/DESIGN.md, "Time".

mod clock;
mod millis;
mod suspension;

pub use crate::clock::Clock;
pub use millis::Millis;
