//! Starts the real daemons and stand-ins on loopback, for tests and measurements.
//!
//! Every process ends with the value that holds it, so a failing test leaves none behind.

mod binaries;
mod error;
mod fleet;
mod node;
mod process;

pub use binaries::Binaries;
pub use error::Error;
pub use fleet::{Fleet, Size};
pub use node::{KEY, Node};
pub use process::{Process, Signal, Usage};
