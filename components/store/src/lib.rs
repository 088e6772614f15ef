//! The platform's table service, object store and VM list.
//!
//! The protocol is in docs/PLATFORM.md. A write may take effect although its response is lost, so
//! every transaction carries an id by which the client can find out whether it was committed.

mod directory;
pub mod fake;
pub mod http;
pub mod standin;
mod store;
mod table;

pub use directory::{Directory, ListedVm, Listing, Role};
pub use store::{Store, digest};
pub use table::{Check, Commit, Failure, Row, Table, Transaction, Write};
