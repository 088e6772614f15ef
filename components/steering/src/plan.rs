use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The units that the shares of one cap sum to at most.
pub const SHARE_SCALE: u32 = 1_000_000;

/// The planner's decision: who may send how much where, and which shift is under way.
///
/// Plans are totally ordered by [`Stamp`]; a node takes only a greater one. Shares are units of a
/// cap, so a node works out its limits from the plan and the configuration in force. See
/// docs/LIMITS.md for why no node ever needs to ask another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The planner's epoch, which rises whenever the planner's lease changes hands.
    pub epoch: u64,
    /// The plan's number within its epoch.
    pub sequence: u64,
    /// The configuration version the plan was made for.
    pub version: u64,
    /// The names of the regions, in the order of every number and row below.
    pub regions: Vec<Arc<str>>,
    /// Requests a second of all callers, when the plan was made.
    pub demand: u32,
    /// The entry VMs that hold shares, sorted by name.
    pub members: Vec<Allocation>,
    /// The number of the shift under way, or of the last one.
    pub shift: u64,
    /// Where each position was served before the shift; the last segment ends at [`SHARE_SCALE`].
    pub from: Vec<Segment>,
    /// Where all positions are served after the shift.
    pub to: Split,
    /// Positions below this have moved at every node that reports, in units of [`SHARE_SCALE`].
    pub settled: u32,
}

/// The order of plans: a greater stamp supersedes a lesser one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// The planner's epoch.
    pub epoch: u64,
    /// The plan's number within its epoch.
    pub sequence: u64,
}

/// The shares of one entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// The VM's name.
    pub vm: Arc<str>,
    /// Its part of each region's cap; that of its own region is also its part of the links that
    /// join the region to others.
    pub regions: Vec<Allotment>,
    /// Its part of the shift cap into each region.
    pub shift: Allotment,
}

/// A share of a cap, in units of [`SHARE_SCALE`].
///
/// It is written as one number when there is nothing extra, since a plan holds some thousands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allotment {
    /// What the VM may use once it holds this plan.
    pub share: u32,
    /// How much more the VM may still believe it holds, until it acknowledges this plan.
    pub extra: u32,
}

/// A run of positions and where they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The first position after the run, in units of [`SHARE_SCALE`].
    pub until: u32,
    /// Where the run is served.
    pub split: Split,
}

/// For the blocks of each home region, the part that each region serves.
///
/// A row for each home region, a weight for each region that serves; a row sums to [`SHARE_SCALE`]. The
/// rows stand in the plan, and aren't derived from the deployment, so a change of the deployment
/// never moves traffic except as a shift.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Split {
    /// The rows.
    pub rows: Vec<Vec<u32>>,
}

impl Plan {
    /// Where the plan stands in the order of plans.
    pub fn stamp(&self) -> Stamp {
        Stamp { epoch: self.epoch, sequence: self.sequence }
    }

    /// The shares of the VM called `name`.
    pub fn allocation(&self, name: &str) -> Option<&Allocation> {
        let at = self.members.binary_search_by(|member| (*member.vm).cmp(name)).ok()?;
        Some(&self.members[at])
    }

    /// Whether the VM called `name` has a share of its region's caps.
    pub fn holds_share(&self, name: &str) -> bool {
        self.allocation(name)
            .is_some_and(|member| member.regions.iter().any(|units| units.share > 0))
    }

    /// The part of the cap of the region called `region` that the VM called `vm` may use.
    pub fn share(&self, vm: &str, region: &str) -> u32 {
        let number = self.regions.iter().position(|name| &**name == region);
        let units = number.and_then(|number| Some(self.allocation(vm)?.allotment(number)));
        units.unwrap_or_default().share
    }

    /// Whether the shift has ended at every node that reports.
    pub fn is_settled(&self) -> bool {
        self.settled >= SHARE_SCALE
    }
}

impl Allocation {
    /// Its part of the cap of the region of this number.
    pub fn allotment(&self, region: usize) -> Allotment {
        self.regions.get(region).copied().unwrap_or_default()
    }
}

impl Allotment {
    /// A share that the VM has acknowledged, or of which it never held more.
    pub const fn exact(share: u32) -> Allotment {
        Allotment { share, extra: 0 }
    }

    /// The most that the VM may use, whatever plan it holds.
    pub const fn held(self) -> u32 {
        self.share + self.extra
    }
}
