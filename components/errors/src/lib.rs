//! The closed list of error kinds and the answer each one gets.
//!
//! See docs/ERRORS.md for the table as users read it.

mod error;
mod kind;
mod response;

pub use error::Error;
pub use kind::Kind;
pub use response::{Execution, Response, response};
