//! Session files: steps at points in virtual time, and the transcript expected of them.
//!
//! A session proves one promise under the failures it names. See docs/GUARANTEES.md.

mod golden;
mod script;

pub use golden::check;
pub use script::{Script, Step};
