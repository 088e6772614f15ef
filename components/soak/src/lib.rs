//! A randomised fault soak. It runs gateway processes on loopback, injects faults from outside, and
//! checks the guarantees against what callers and upstreams observe.
//!
//! docs/SOAK.md lists the checks and explains how to replay a seed.

mod callers;
mod checker;
mod fault;
mod fleet;
mod link;
mod run;
mod seeds;
mod upstream;

pub use run::{FEW_VMS, MAX_VMS, Report, Scenario, run};
pub use seeds::{Seed, regressions};
