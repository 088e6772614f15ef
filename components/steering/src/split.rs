use crate::{Regions, SHARE_SCALE, Split};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const POSITION_SEED: u64 = 1;
const REGION_SEED: u64 = 2;

/// The position of `block` in the order in which shifts move blocks, below [`SHARE_SCALE`].
///
/// It depends only on the block, so every VM moves the same blocks first.
pub fn position(block: u32) -> u32 {
    let hash = xxh3_64_with_seed(&block.to_le_bytes(), POSITION_SEED);
    ((u128::from(hash) * u128::from(SHARE_SCALE)) >> u64::BITS) as u32
}

impl Split {
    /// The split in which every block is served in its home region.
    pub fn nearest(regions: usize) -> Split {
        let row =
            |home| (0..regions).map(move |region| if region == home { SHARE_SCALE } else { 0 });
        Split { rows: (0..regions).map(|home| row(home).collect()).collect() }
    }

    /// The region that serves `block`, whose home region is `home`, among regions not in `down`;
    /// `None` if every region is down.
    ///
    /// The region is chosen by weighted rendezvous hashing, so a change of weights moves few
    /// blocks. If all regions with a weight in the row of `home` are down, `home` itself serves the
    /// block, or else a region by its weight over all rows.
    pub fn region(&self, home: u16, block: u32, down: Regions) -> Option<u16> {
        let row = self.rows.get(usize::from(home)).map(Vec::as_slice).unwrap_or_default();
        let weight = |region: u16| row.get(usize::from(region)).copied().unwrap_or(0);
        let count = self.rows.len().max(usize::from(home) + 1) as u16;
        let up = (0..count).filter(|region| !down.contains(*region));
        highest(up.clone().filter(|region| weight(*region) > 0), block, weight)
            .or_else(|| (!down.contains(home)).then_some(home))
            .or_else(|| highest(up, block, |region| self.total(region).max(1)))
    }

    /// The sum of the weights of `region` over all rows.
    fn total(&self, region: u16) -> u32 {
        let weights = self.rows.iter().filter_map(|row| row.get(usize::from(region)));
        weights.fold(0, |sum: u32, weight| sum.saturating_add(*weight))
    }

    /// Rewrites a split of the regions `from` for the regions `to`, matched by name.
    ///
    /// A new region serves its own blocks; the weight of a removed region is dropped.
    pub fn renumber(&self, from: &[Arc<str>], to: &[Arc<str>]) -> Split {
        let old = |name: &Arc<str>| from.iter().position(|region| region == name);
        let weight = |row: &Vec<u32>, region: &Arc<str>| {
            old(region).and_then(|at| row.get(at).copied()).unwrap_or(0)
        };
        let row = |(number, home): (usize, &Arc<str>)| match old(home) {
            Some(at) => to.iter().map(|region| weight(&self.rows[at], region)).collect(),
            None => Split::nearest(to.len()).rows.swap_remove(number),
        };
        Split { rows: to.iter().enumerate().map(row).collect() }
    }
}

/// The candidate with the highest score.
fn highest<Candidates, Weight>(candidates: Candidates, block: u32, weight: Weight) -> Option<u16>
where
    Candidates: Iterator<Item = u16>,
    Weight: Fn(u16) -> u32,
{
    let scored = candidates.map(|region| (score(block, region, weight(region)), region));
    let best = scored.max_by(|(one, _), (other, _)| one.total_cmp(other))?;
    Some(best.1)
}

/// The score of weighted rendezvous hashing: the logarithm of a uniform hash divided by the weight,
/// so that a region has the highest score with a probability in proportion to its weight.
fn score(block: u32, region: u16, weight: u32) -> f64 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&block.to_le_bytes());
    bytes[4..].copy_from_slice(&region.to_le_bytes());
    let hash = xxh3_64_with_seed(&bytes, REGION_SEED);
    let uniform = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    uniform.ln() / f64::from(weight)
}
