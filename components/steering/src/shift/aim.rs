use crate::{Regions, Split};

/// A split and the regions left out of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Aim {
    pub(super) split: Split,
    pub(super) lost: Regions,
}

/// A run of fine positions and where it is served.
#[derive(Clone, Debug)]
pub(super) struct Track {
    pub(super) until: u64,
    pub(super) aim: Aim,
    /// Regions that were lost since, so that their caches are cold though they may be back.
    pub(super) cold: Regions,
}

impl Aim {
    pub(super) fn region(&self, home: u16, block: u32) -> Option<u16> {
        self.split.region(home, block, self.lost)
    }

    /// The part of the traffic that is served elsewhere under `other`, if all home regions have as
    /// much.
    pub(super) fn moved_part(&self, other: &Aim) -> f64 {
        let rows = self.split.rows.iter().zip(&other.split.rows);
        let parts = rows.map(|(old, new)| {
            let (old, new) = (self.parts(old), other.parts(new));
            let gains = old.iter().zip(&new).map(|(old, new)| (new - old).max(0.0));
            gains.sum::<f64>()
        });
        parts.sum::<f64>() / self.split.rows.len().max(1) as f64
    }

    pub(super) fn parts(&self, row: &[u32]) -> Vec<f64> {
        let weight = |(region, weight): (usize, &u32)| {
            if self.lost.contains(region as u16) { 0.0 } else { f64::from(*weight) }
        };
        let weights: Vec<f64> = row.iter().enumerate().map(weight).collect();
        let sum = weights.iter().sum::<f64>().max(1.0);
        weights.iter().map(|weight| weight / sum).collect()
    }
}
