//! The daemons assembled from the components: listeners, hand-over and graceful shutdown.
//!
//! The binaries and `heatherbend try` start the same code. See docs/DESIGN.md, "Programs".

pub mod controld;
pub mod entryd;
mod listener;
mod signal;
mod start;

pub use listener::{Listener, Socket};
pub use signal::stop_requested;
pub use start::{announce, connect, exit, load_node, open_log};
