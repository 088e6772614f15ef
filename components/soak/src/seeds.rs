//! Seeds of past failures, kept as regression tests.

/// A seed whose run once violated a guarantee.
#[derive(Clone, Copy, Debug)]
pub struct Seed {
    /// The seed.
    pub number: u64,
    /// Duration of the run in seconds; the faults depend on it.
    pub seconds: u64,
    /// The cause of the failure.
    pub cause: &'static str,
}

/// The seeds in `seeds.txt`, one per line: number, seconds, cause.
pub fn regressions() -> impl Iterator<Item = Seed> {
    include_str!("../seeds.txt").lines().filter_map(|line| {
        let mut parts = line.splitn(3, ' ');
        let number = parts.next()?.parse().ok()?;
        let seconds = parts.next()?.parse().ok()?;
        Some(Seed { number, seconds, cause: parts.next()? })
    })
}
