//! The closed list of error kinds and the answer each one gets.
//!
//! See docs/ERRORS.md for the table as users read it.

mod answer;
mod error;
mod kind;

pub use answer::{Answer, Ran, answer};
pub use error::Error;
pub use kind::Kind;
