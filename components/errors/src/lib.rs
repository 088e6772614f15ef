//! The closed list of error kinds and the response to each.
//!
//! docs/ERRORS.md has the table for users.

mod error;
mod kind;
mod response;

pub use error::Error;
pub use kind::Kind;
pub use response::{Execution, Response, response};
