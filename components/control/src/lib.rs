//! The control plane's agent: membership, configuration, planner and snapshots.
//!
//! Every entry VM runs the same agent. It keeps the fleet's roster up to date with heartbeats
//! (docs/MEMBERSHIP.md), installs the configurations and plans that are committed in the
//! platform's table (docs/CONFIGURATION.md), may hold the planner's lease, and publishes snapshots
//! for the VM's `entryd`.

mod agent;
mod anti_entropy;
mod api;
mod bootstrap;
mod commit;
mod control;
pub mod dissemination;
mod explain;
pub mod fake;
mod fetch;
mod gossip;
mod handler;
mod heartbeat;
mod install;
mod leadership;
mod listing;
mod load;
mod local;
mod planner;
mod poll;
mod roster;
mod rows;
mod setup;
mod snapshot;
mod state;
mod trace;

pub use agent::Agent;
pub use control::Control;
pub use dissemination::Dissemination;
pub use roster::Roster;
pub use rows::Lease;
pub use setup::{Platform, Settings};
