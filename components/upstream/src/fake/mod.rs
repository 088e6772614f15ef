//! In-memory upstreams, for tests, `heatherbend try` and the stand-in process.
//!
//! Each [`Server`] records the requests it executed; tests check guarantees against the record.

mod content;
mod fault;
mod fleet;
mod server;

pub use content::{entity, entity_tag};
pub use fault::Fault;
pub use fleet::Fleet;
pub use server::{Performance, Run, Server};
