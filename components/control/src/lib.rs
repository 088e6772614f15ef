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
mod config;
mod control;
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
mod snapshot;
pub mod spread;
mod state;
mod tenure;
mod trace;

pub use agent::Agent;
pub use config::{Config, Platform};
pub use control::Control;
pub use roster::Roster;
pub use rows::Lease;
pub use spread::Spread;
