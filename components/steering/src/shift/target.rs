use crate::{Regions, Split};

/// A split of traffic and the regions excluded from it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) split: Split,
    /// Regions that are drained or unreachable.
    pub(super) down: Regions,
}

/// A range of fine positions and how it is served.
#[derive(Clone, Debug)]
pub(super) struct Span {
    /// The end of the range, exclusive.
    pub(super) until: u64,
    pub(super) target: Target,
    /// Regions that were down since they served the range. Their caches are cold even if they are
    /// up again.
    pub(super) cold: Regions,
}

impl Target {
    /// The region that serves `block`, whose home region is `home`; `None` if all regions are down.
    pub(super) fn region(&self, home: u16, block: u32) -> Option<u16> {
        self.split.region(home, block, self.down)
    }

    /// The part of the traffic that `other` serves in other regions, if all home regions have equal
    /// traffic.
    pub(super) fn moved_part(&self, other: &Target) -> f64 {
        let rows = self.split.rows.iter().zip(&other.split.rows);
        let parts = rows.map(|(old, new)| {
            let (old, new) = (self.parts(old), other.parts(new));
            let gains = old.iter().zip(&new).map(|(old, new)| (new - old).max(0.0));
            gains.sum::<f64>()
        });
        parts.sum::<f64>() / self.split.rows.len().max(1) as f64
    }

    /// The weights of `row` as parts of one, without the regions that are down.
    pub(super) fn parts(&self, row: &[u32]) -> Vec<f64> {
        let weight = |(region, weight): (usize, &u32)| {
            if self.down.contains(region as u16) { 0.0 } else { f64::from(*weight) }
        };
        let weights: Vec<f64> = row.iter().enumerate().map(weight).collect();
        let sum = weights.iter().sum::<f64>().max(1.0);
        weights.iter().map(|weight| weight / sum).collect()
    }
}
