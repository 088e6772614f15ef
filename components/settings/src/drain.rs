use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A planned drain of VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Drain {
    /// The drain's name, unique within the declaration.
    pub name: Arc<str>,
    /// What is drained.
    pub target: Target,
    /// When the drain begins: from here on, leases have ended and no new requests arrive.
    pub start: Millis,
    /// When the target may be used again.
    pub end: Millis,
}

/// The VMs that a drain empties.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// One VM, entry or upstream.
    Vm(Arc<str>),
    /// All VMs of a failure domain.
    Domain(Arc<str>),
    /// All VMs of a region.
    Region(Arc<str>),
}
