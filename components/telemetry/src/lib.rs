//! Structured logs and metrics.
//!
//! Logs are JSON lines on standard output, written by a thread of their own behind a bounded
//! queue, so that a slow reader of the log never delays a request. Metrics are rendered in the
//! Prometheus text format. Secret keys must never be passed to either. See docs/OPERATORS.md, "Logs".

mod decision;
mod labels;
mod limiter;
mod logging;
pub mod names;
mod panics;
mod queue;
mod recorder;

pub use decision::{Action, Decision, log_decision};
pub use labels::Labels;
pub use limiter::{Admission, Limiter};
pub use logging::admit_line;
pub use logging::{Log, Options, install, install_to};
pub use queue::{Queue, Writer};
pub use recorder::{install_recorder, render, upkeep};
