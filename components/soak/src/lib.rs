//! A randomised fault soak: real gateway processes on loopback, faults from outside them, and the
//! promises checked from what callers and upstreams see.
//!
//! See docs/SOAK.md for what it checks and how a seed is played again.

mod callers;
mod fault;
mod fleet;
mod ledger;
mod link;
mod play;
mod seeds;
mod upstream;

pub use play::{Report, play};
pub use seeds::{Seed, seeds};
