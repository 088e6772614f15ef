//! Checked INI settings: deployment, presets, drains and a node's own file.
//!
//! Every key, unit, default and bound is listed in docs/SETTINGS.md.

mod deployment;
mod drain;
mod node;
mod preset;
mod source;

pub use deployment::{Class, Deployment, Link, Range, Region, Service, Site};
pub use drain::{Drain, Target};
pub use node::Node;
pub use preset::{Preset, Share};
pub use source::Source;

use serde::{Deserialize, Serialize};

/// Everything that operators declare and `apply` puts in force as one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Regions, links, sites and services.
    pub deployment: Deployment,
    /// The presets to choose from, by name; exactly one is in force at a time.
    pub presets: Vec<Preset>,
    /// Drains that are planned.
    pub drains: Vec<Drain>,
}
