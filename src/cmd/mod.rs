//! The commands, one module each.

pub mod apply;
pub mod check;
pub mod drain;
pub mod explain;
pub mod preset;
pub mod status;
pub mod trial;

mod accepted;
