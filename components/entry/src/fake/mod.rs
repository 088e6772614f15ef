//! Other entry VMs and pauses in memory, for tests and `heatherbend try`.

mod process;
mod relays;

pub use process::{Mode, Process};
pub use relays::RelayNetwork;
