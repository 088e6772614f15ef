//! The policies that are compared.

use steering::choice::{Choice, LeastReported, Random, Ranked, RoundRobin, TwoChoices};

/// How upstreams are chosen, and whether requests are hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// A random upstream.
    Random,
    /// Each upstream in turn.
    RoundRobin,
    /// The upstream with the lowest reported load.
    LeastReported,
    /// Of two random upstreams, the one with fewer requests in flight from this entry VM.
    TwoChoices,
    /// Sees the state of every upstream and every request in flight. No real policy can be
    /// much better, so it shows whether the upstreams could meet a missed target at all.
    Omniscient,
    /// [`Policy::Ranked`] limited to the upstreams of the entry VM's own region.
    RankedRegion,
    /// [`Policy::Ranked`] without hedges.
    RankedAlone,
    /// The policy in force.
    Ranked,
}

impl Policy {
    /// All policies; the policy in force is the last.
    pub const ALL: [Policy; 8] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastReported,
        Policy::TwoChoices,
        Policy::Omniscient,
        Policy::RankedRegion,
        Policy::RankedAlone,
        Policy::Ranked,
    ];

    /// The policy's name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastReported => "least reported",
            Policy::TwoChoices => "two choices",
            Policy::Omniscient => "omniscient (bound)",
            Policy::RankedRegion => "ranked, own region",
            Policy::RankedAlone => "ranked, no hedges",
            Policy::Ranked => "ranked (ours)",
        }
    }

    /// A new instance of the algorithm that chooses the upstream.
    pub(super) fn choice(self) -> Box<dyn Choice> {
        match self {
            Policy::Random | Policy::Omniscient => Box::new(Random),
            Policy::RoundRobin => Box::new(RoundRobin::default()),
            Policy::LeastReported => Box::new(LeastReported),
            Policy::TwoChoices => Box::new(TwoChoices),
            Policy::RankedRegion | Policy::RankedAlone | Policy::Ranked => Box::new(Ranked),
        }
    }

    /// Whether slow requests are hedged.
    pub(super) fn has_hedges(self) -> bool {
        matches!(self, Policy::RankedRegion | Policy::Ranked)
    }

    /// Whether upstreams are chosen by [`Ranked`].
    pub(super) fn is_ranked(self) -> bool {
        matches!(self, Policy::RankedRegion | Policy::RankedAlone | Policy::Ranked)
    }
}
