//! A randomised fault soak. It runs gateway processes on loopback, injects faults from outside, and
//! checks the guarantees against what callers and upstreams observe.
//!
//! docs/SOAK.md lists the checks and explains how to replay a seed.

pub mod accounts;
mod callers;
mod checker;
mod cluster;
mod fault;
mod fleet;
mod injection;
pub mod ledger;
mod link;
mod operations;
mod run;
mod seeds;
mod upstream;

pub use cluster::{FEW_VMS, MAX_VMS};
pub use fault::Features;
pub use run::{Report, Scenario, run};
pub use seeds::{Seed, regressions};
