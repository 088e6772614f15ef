//! Orders: non-idempotent requests, each of which runs at most once.
//!
//! Only the owner of an order sends it: the incarnation of an `entryd` that the id names, or else
//! the one whose claim is in the table. See docs/ORDERS.md.

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
pub(crate) use start::{Origin, signed_prefix, start};
