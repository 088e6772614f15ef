//! The policies that are compared.

use steering::choice::{Choice, LeastReported, Random, Ranked, RoundRobin, TwoChoices};

/// A policy of choice with what goes around it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any upstream.
    Random,
    /// One after the other.
    RoundRobin,
    /// The least load report.
    LeastReported,
    /// The better of two by own requests in flight.
    TwoChoices,
    /// One that sees every server and every request on the way: what no real policy can beat by
    /// much, to tell a missed target from one that the machines can't meet.
    Omniscient,
    /// Ours, but each entry VM uses only the upstreams of its own region.
    RankedRegion,
    /// Ours, without hedges.
    RankedAlone,
    /// Ours.
    Ranked,
}

impl Policy {
    /// The baselines and ours.
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

    /// The choice that it makes.
    pub(super) fn choice(self) -> Box<dyn Choice> {
        match self {
            Policy::Random | Policy::Omniscient => Box::new(Random),
            Policy::RoundRobin => Box::new(RoundRobin::default()),
            Policy::LeastReported => Box::new(LeastReported),
            Policy::TwoChoices => Box::new(TwoChoices),
            Policy::RankedRegion | Policy::RankedAlone | Policy::Ranked => Box::new(Ranked),
        }
    }

    /// Whether it hedges.
    pub(super) fn hedges(self) -> bool {
        matches!(self, Policy::RankedRegion | Policy::Ranked)
    }

    /// Whether it is one of ours.
    pub(super) fn is_ours(self) -> bool {
        matches!(self, Policy::RankedRegion | Policy::RankedAlone | Policy::Ranked)
    }
}
