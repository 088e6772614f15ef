//! Starts the real daemons and stand-ins on loopback, for tests and measurements.
//!
//! Every process ends with the value that holds it, so a failing test leaves none behind.

mod binaries;
mod entry_vm;
mod error;
mod fleet;
mod process;

pub use binaries::Binaries;
pub use entry_vm::{EntryVm, OPERATOR_KEY};
pub use error::Error;
pub use fleet::{Fleet, Size};
pub use process::{Process, Signal, Usage};
