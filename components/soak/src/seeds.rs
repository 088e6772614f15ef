//! Seeds that failed once, kept as regression cases.

/// A seed that failed.
#[derive(Clone, Copy, Debug)]
pub struct Seed {
    /// The seed.
    pub number: u64,
    /// How long it was played, in seconds.
    pub seconds: u64,
    /// Why it failed.
    pub cause: &'static str,
}

/// All of them, from `seeds.txt`: number, seconds, cause.
pub fn seeds() -> impl Iterator<Item = Seed> {
    include_str!("../seeds.txt").lines().filter_map(|line| {
        let mut parts = line.splitn(3, ' ');
        let number = parts.next()?.parse().ok()?;
        let seconds = parts.next()?.parse().ok()?;
        Some(Seed { number, seconds, cause: parts.next()? })
    })
}
