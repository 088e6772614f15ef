//! Checked INI settings: deployment, presets, drains and a node's own file.
//!
//! Every key, unit, default and bound is listed in docs/SETTINGS.md.

pub mod block;
mod change;
mod check_deployment;
mod deployment;
mod document;
mod drain;
mod finding;
mod findings;
pub mod instant;
mod load;
pub mod name;
mod node;
mod preset;
mod read_deployment;
mod read_drain;
mod read_node;
mod read_preset;
mod reader;
mod scan;
mod schema;
mod source;
mod unit;
mod write;

pub use change::{Change, compare};
pub use deployment::{Class, Deployment, Link, Range, Region, Service, Site};
pub use drain::{Drain, Target};
pub use finding::Finding;
pub use load::{
    DEPLOYMENT_FILE, DEPLOYMENT_LIMIT, DRAINS_FILE, NODE_LIMIT, OTHER_LIMIT, PRESETS_FILE, load,
    load_node, parse, parse_node, read,
};
pub use node::Node;
pub use preset::{ORDINARY, Preset, Share};
pub use read_drain::problem as drain_problem;
pub use source::Source;
pub use write::write;

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
