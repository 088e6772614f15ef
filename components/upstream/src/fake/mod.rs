//! Upstreams in memory, for tests, `heatherbend try` and the stand-in process.
//!
//! Each [`Server`] keeps its own list of what it ran; tests compare promises with that list.

mod content;
mod fault;
mod fleet;
mod server;

pub use content::{entity, entity_tag};
pub use fault::Fault;
pub use fleet::Fleet;
pub use server::{Performance, Run, Server};
