//! The daemons assembled from the components: listeners, hand-over and graceful shutdown.
//!
//! The binaries and `heatherbend try` start the same code. See docs/DESIGN.md, "Programs".

mod listener;
mod signal;

pub use listener::{Listener, Socket};
pub use signal::stop_requested;
