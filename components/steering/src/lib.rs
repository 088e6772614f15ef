//! All routing, limiting and planning decisions, without I/O.
//!
//! A decision takes a [`Snapshot`], an observation, the time and a seed, and returns its reason
//! with the result, so that it can be logged and tested in virtual time. See docs/DESIGN.md.

pub mod account;
pub mod admission;
pub mod affinity;
mod allot;
mod allotment;
pub mod assignment;
pub mod balance;
pub mod cap;
pub mod catalogue;
pub mod choice;
pub mod class;
pub mod convergence;
pub mod cross_region;
pub mod echo;
pub mod entry_selection;
pub mod fairness;
mod geography;
pub mod hedge;
mod index;
pub mod lease;
pub mod limit;
mod lookup;
pub mod membership;
mod plan;
pub mod planner;
pub mod pressure;
pub mod readers;
mod regions;
pub mod retry;
pub mod retry_after;
pub mod retry_budget;
pub mod routing;
pub mod sample;
pub mod share;
pub mod shedding;
pub mod shift;
mod snapshot;
mod split;
pub mod staleness;
pub mod uplink;
pub mod upload;
pub mod uptime;
pub mod urgency;
pub mod warmup;
pub mod weights;
pub mod withdrawal;

pub use geography::{delay, region_of};
pub use index::Index;
pub use lookup::{Entries, LEASE_MIN, Lookup, MAX_ENTRIES, Reason, lookup};
pub use plan::{Allocation, Allotment, Plan, SHARE_SCALE, Segment, Split, Stamp};
pub use regions::Regions;
pub use snapshot::{Snapshot, State, Upstream, Vm};
pub use split::position;
