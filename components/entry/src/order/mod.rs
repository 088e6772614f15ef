//! Orders: requests that must not repeat, each sent at most once.
//!
//! An order is sent by one incarnation of one `entryd`: the home that its id names, or the one
//! whose claim the table holds. See docs/ORDERS.md.

mod body;
mod claim;
mod id;
mod ledger;
mod outcome;
mod relay;
mod run;
mod start;

pub(crate) use claim::{Claimer, Owner};
pub(crate) use id::Signer;
pub use id::{Id, Prefix};
pub(crate) use ledger::Ledger;
pub(crate) use relay::run_relayed;
pub(crate) use start::{Origin, sealed_prefix, start};
