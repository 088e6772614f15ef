//! Measurements of the real daemons on loopback: what control costs a node, and what an entry VM
//! carries.
//!
//! These are figures of one machine, so docs/CAPACITY.md uses their slopes and never a single one.

mod control;
mod declaration;
mod load;

pub use control::{Cost, measure as measure_control};
pub use load::{Rate, measure as measure_load};
