//! Runs the daemons and stand-ins as processes on loopback, for tests and measurements.
//!
//! Dropping a [`Process`] kills it, so a failed test leaves no process behind.

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
