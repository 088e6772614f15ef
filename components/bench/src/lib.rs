//! Deterministic experiments that drive the decisions of `steering` in virtual time.
//!
//! Adding an experiment takes one file with an [`Experiment`] and its line in [`experiments`].

mod blocking;
mod experiment;
mod fake;
mod fleet;
mod headroom;
mod orders;
mod queue;
pub mod real;
mod scene;
mod serving;
mod spread;
mod stragglers;
mod table;

pub use experiment::{Experiment, experiments};
pub use scene::Scene;
pub use serving::{Demand, Long, Policy, Served, Slowdown, serve};
pub use table::{Row, Spread, Table, Target};
