use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The units that the shares of one cap sum to at most.
pub const WHOLE: u32 = 1_000_000;

/// The planner's decision: who may send how much where, and how far a shift has come.
///
/// Plans are totally ordered by `(epoch, sequence)`; a node takes only a greater one. Shares are
/// units of a cap, so a node works out its limits from the plan and the configuration in force.
/// See docs/LIMITS.md for why no node ever needs to ask another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The planner's epoch, which rises whenever the planner's lease changes hands.
    pub epoch: u64,
    /// The plan's number within its epoch.
    pub sequence: u64,
    /// The configuration version the plan was made for.
    pub version: u64,
    /// The entry VMs that hold shares.
    pub members: Vec<Member>,
    /// The weight of each region, in the deployment's order, before the shift under way.
    pub from: Vec<u32>,
    /// The weight of each region, in the deployment's order, after the shift under way.
    pub to: Vec<u32>,
    /// Blocks whose position is below this have moved and are warm; in units of [`WHOLE`].
    pub settled: u32,
    /// Blocks whose position is below this may move, under the shift cap; in units of [`WHOLE`].
    pub progress: u32,
}

/// The shares of one entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: Arc<str>,
    /// The index of the VM's region in the deployment.
    pub region: u16,
    /// Its part of its own region's caps, and of the links that leave the region.
    pub home: Units,
    /// Its part of every other region's caps.
    pub away: Units,
}

/// A share of a cap, in units of [`WHOLE`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Units {
    /// What the VM may use once it holds this plan.
    pub share: u32,
    /// The most that the VM may still believe it holds, until it acknowledges this plan.
    pub held: u32,
}
