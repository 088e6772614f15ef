//! All routing, limiting and planning decisions, without I/O.
//!
//! A decision takes a [`Snapshot`], an observation, the time and a seed, and returns its reason
//! with the result, so that it can be logged and tested in virtual time. See docs/DESIGN.md.

pub mod choice;
pub mod class;
pub mod hedge;
pub mod limit;
mod plan;
pub mod retry;
mod snapshot;

pub use plan::{Member, Plan, Units, WHOLE};
pub use snapshot::{Snapshot, State, Upstream, Vm};
