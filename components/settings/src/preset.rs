use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The preset that every declaration must have and that is in force initially.
pub const ORDINARY: &str = "ordinary";

/// How traffic is distributed over regions and how fast it may shift.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preset {
    /// The preset's name.
    pub name: Arc<str>,
    /// The first lease of a caller.
    pub lease_first: Millis,
    /// The longest lease of a caller.
    pub lease_max: Millis,
    /// The factor by which a lease grows at each renewal.
    pub lease_growth: u32,
    /// Requests per second that may shift to one destination at a time, over all VMs.
    pub shift_cap: u32,
    /// How long one step of a shift must have served traffic before the next step.
    pub shift_step: Millis,
    /// The fraction of each region's and each link's capacity that steering uses, 0 to 1.
    pub headroom: f64,
    /// The fraction of requests that may be hedged or retried, 0 to 1.
    pub hedge_budget: f64,
    /// The fraction of an upstream's slots that long requests may hold, 0 to 1.
    pub long_share: f64,
    /// The intended share of all traffic per region; unnamed regions share the rest.
    pub shares: Vec<Share>,
}

/// The intended share of all traffic of one region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The region.
    pub region: Arc<str>,
    /// The share, 0 to 1; zero keeps traffic out of the region.
    pub share: f64,
}
