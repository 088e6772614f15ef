//! In-memory fakes: a relay network between entry VMs, and processes that can be paused or killed.
//! For tests and `heatherbend try`.

mod process;
mod relays;

pub use process::{Mode, Process};
pub use relays::RelayNetwork;
