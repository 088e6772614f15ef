//! `entryd` and `controld`, assembled from the components, with listeners and graceful shutdown.
//!
//! The binaries and `heatherbend try` run the same code. See docs/DESIGN.md, "Programs".

pub mod controld;
pub mod entryd;
mod listener;
mod signal;
mod start;

pub use listener::{Listener, Socket};
pub use signal::{Request, Signals, stop_requested};
pub use start::{announce, connect, exit, load_node, open_log};
