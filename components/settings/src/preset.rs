use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The preset that every declaration has and that is in force first.
pub const ORDINARY: &str = "ordinary";

/// A preset: how traffic is spread and how fast it may move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Preset {
    /// The preset's name.
    pub name: Arc<str>,
    /// The first lease of a caller.
    pub lease_first: Millis,
    /// The longest lease of a caller.
    pub lease_max: Millis,
    /// By how much a lease grows at each renewal, as a factor.
    pub lease_growth: u32,
    /// Requests a second that may be moved into one destination, over all VMs.
    pub shift_cap: u32,
    /// Time a part of a shift must serve before the next part moves.
    pub shift_step: Millis,
    /// The part of a region's capacity and of a link's capacity that steering uses, 0 to 1.
    pub headroom: f64,
    /// The part of requests that may be hedged or retried, 0 to 1.
    pub hedge_budget: f64,
    /// The part of an upstream's slots that long requests may hold, 0 to 1.
    pub long_share: f64,
    /// The part of all traffic each region is meant for; regions not named share the rest.
    pub shares: Vec<Share>,
}

/// The part of all traffic that one region is meant for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The region.
    pub region: Arc<str>,
    /// The part, 0 to 1; zero keeps the region empty.
    pub share: f64,
}
