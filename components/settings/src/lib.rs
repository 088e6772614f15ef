//! Reads and checks INI settings: `deployment.ini`, `presets.ini`, `drains.ini` and `node.ini`.
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
    DEPLOYMENT_FILE, DEPLOYMENT_MAX_BYTES, DRAINS_FILE, NODE_MAX_BYTES, PRESETS_FILE,
    PRESETS_OR_DRAINS_MAX_BYTES, load, load_node, parse, parse_node, read,
};
pub use node::Node;
pub use preset::{ORDINARY, Preset, Share};
pub use read_drain::problem as drain_problem;
pub use source::Source;
pub use write::write;

use serde::{Deserialize, Serialize};

/// Everything that operators declare; `apply` puts it in force as one configuration version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Declaration {
    /// Regions, links, sites and services.
    pub deployment: Deployment,
    /// The presets, of which exactly one is in force at a time.
    pub presets: Vec<Preset>,
    /// Planned drains.
    pub drains: Vec<Drain>,
}
