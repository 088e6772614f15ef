//! The control plane's agent: heartbeats, configuration, planner and snapshots.
//!
//! Every VM runs the same agent. It keeps the roster of the fleet by heartbeats
//! (docs/MEMBERSHIP.md), installs configurations and plans that are committed in the platform's
//! table (docs/CONFIGURATION.md), may hold the planner's lease, and hands snapshots to its
//! `entryd`.

mod agent;
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
mod listing;
mod load;
mod local;
mod planner;
mod poll;
mod roster;
mod rows;
mod sampling;
mod setup;
mod snapshot;
mod state;
mod tenure;
mod trace;

pub use agent::Agent;
pub use control::Control;
pub use dissemination::Dissemination;
pub use roster::Roster;
pub use rows::Lease;
pub use setup::{Platform, Settings};
