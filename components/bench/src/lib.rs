//! Deterministic experiments that drive the decisions of `steering` in virtual time.
//!
//! To add an experiment, implement [`Experiment`] in a new module and list it in [`experiments`].

mod blocking;
mod experiment;
mod fake;
mod fleet;
mod headroom;
mod orders;
mod propagation;
mod queue;
pub mod real;
mod scenario;
mod serving;
mod stragglers;
mod table;

pub use experiment::{Experiment, experiments};
pub use scenario::Scenario;
pub use serving::{Demand, Long, Policy, Results, Slowdown, serve};
pub use table::{Row, Spread, Table, Target};
