//! The platform's table service, object store and VM list.
//!
//! The platform is met through the protocol in docs/PLATFORM.md. Writes may take effect although
//! their answer is lost, so every transaction carries an id by which it can be found again.

mod directory;
pub mod fake;
pub mod http;
pub mod standin;
mod store;
mod table;

pub use directory::{Directory, ListedVm, Listing, Role};
pub use store::{Store, digest};
pub use table::{Check, Commit, Failure, Row, Table, Transaction, Write};
