//! Session files: steps at points in virtual time, and the transcript that they must produce.
//!
//! Each session tests one guarantee under the failures listed at its head. See
//! docs/GUARANTEES.md.

mod golden;
mod script;

pub use golden::check;
pub use script::{Script, Step};
