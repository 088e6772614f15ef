use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The number of units that make up a cap; the shares of one cap sum to at most this.
pub const SHARE_SCALE: u32 = 1_000_000;

/// The planner's decision: each entry VM's shares of all caps, and the current shift of traffic.
///
/// Plans are totally ordered by [`Stamp`]; a VM accepts only a greater one. Shares are parts of a
/// cap, so a VM computes its limits from the plan and the configuration in force, without a request
/// to any other VM. See docs/LIMITS.md.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The fencing token of the planner's lease; rises whenever another VM takes the lease.
    pub epoch: u64,
    /// The plan's number within its epoch.
    pub sequence: u64,
    /// The version of the configuration that the plan was made for.
    pub version: u64,
    /// The names of the regions; region numbers and rows below follow this order.
    pub regions: Vec<Arc<str>>,
    /// The demand of all callers when the plan was made, in requests a second.
    pub demand: u32,
    /// The entry VMs that hold shares, sorted by name.
    pub members: Vec<Allocation>,
    /// The number of the current shift, or of the last one.
    pub shift: u64,
    /// How each position was served before the shift; the last segment ends at [`SHARE_SCALE`].
    pub from: Vec<Segment>,
    /// How all positions are served after the shift.
    pub to: Split,
    /// Positions below this have moved at every VM that reports, in units of [`SHARE_SCALE`].
    pub settled: u32,
}

/// The order of plans: a greater stamp supersedes a lesser one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// The fencing token of the planner's lease.
    pub epoch: u64,
    /// The plan's number within its epoch.
    pub sequence: u64,
}

/// The shares of all caps that one entry VM holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Allocation {
    /// The VM's name.
    pub vm: Arc<str>,
    /// Its share of each region's cap. The share of its own region also applies to the links
    /// between that region and others.
    pub regions: Vec<Allotment>,
    /// Its share of the shift cap, which applies to each region separately.
    pub shift: Allotment,
}

/// One VM's share of one cap, in units of [`SHARE_SCALE`].
///
/// It is serialised as one number if `extra` is zero, because a plan holds thousands of shares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Allotment {
    /// What the VM may use under this plan.
    pub share: u32,
    /// What the VM may use in addition under an older plan, until it acknowledges this one.
    pub extra: u32,
}

/// A range of positions and how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Segment {
    /// The end of the range, exclusive, in units of [`SHARE_SCALE`].
    pub until: u32,
    /// How the positions are served.
    pub split: Split,
}

/// How the traffic of each home region is divided among the regions that serve it.
///
/// There is one row for each home region, with the weight of each serving region; a row sums to
/// [`SHARE_SCALE`]. The rows are stored in the plan and not derived from the deployment, so that a
/// change of the deployment moves traffic only by a shift.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Split {
    /// The weights, by home region and then by serving region.
    pub rows: Vec<Vec<u32>>,
}

impl Plan {
    /// The plan's position in the order of plans.
    pub fn stamp(&self) -> Stamp {
        Stamp { epoch: self.epoch, sequence: self.sequence }
    }

    /// The shares of the VM `name`; `None` if the plan gives it none.
    pub fn allocation(&self, name: &str) -> Option<&Allocation> {
        let at = self.members.binary_search_by(|member| (*member.vm).cmp(name)).ok()?;
        Some(&self.members[at])
    }

    /// Whether the VM `name` has a share of any region's cap.
    pub fn holds_share(&self, name: &str) -> bool {
        self.allocation(name)
            .is_some_and(|allocation| allocation.regions.iter().any(|region| region.share > 0))
    }

    /// The share of the cap of `region` that the VM `vm` may use, in units of [`SHARE_SCALE`]; zero
    /// if the plan gives it none.
    pub fn share(&self, vm: &str, region: &str) -> u32 {
        let number = self.regions.iter().position(|name| &**name == region);
        let allotment = number.and_then(|number| Some(self.allocation(vm)?.allotment(number)));
        allotment.unwrap_or_default().share
    }

    /// Whether the shift is complete at every VM that reports.
    pub fn is_settled(&self) -> bool {
        self.settled >= SHARE_SCALE
    }
}

impl Allocation {
    /// The share of the cap of the region with this number; zero if there is no such region.
    pub fn allotment(&self, region: usize) -> Allotment {
        self.regions.get(region).copied().unwrap_or_default()
    }
}

impl Allotment {
    /// A share without `extra`, as when the VM has acknowledged the plan.
    pub const fn exact(share: u32) -> Allotment {
        Allotment { share, extra: 0 }
    }

    /// The most that the VM may use under this plan or an older one.
    pub const fn held(self) -> u32 {
        self.share + self.extra
    }
}
