//! Measurements of the real daemons on loopback: the resources that control takes on each entry VM,
//! and the load that an entry VM can carry.
//!
//! All processes share one machine, so docs/CAPACITY.md uses only the slopes between results, never
//! a single result.

mod control;
mod declaration;
mod load;

pub use control::{Cost, measure as measure_control};
pub use load::{Measurement, measure as measure_load};
