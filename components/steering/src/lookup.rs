use crate::index::{Domain, Entry};
use crate::{Index, State};
use clock::Millis;
use errors::{Error, Kind};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most entry VMs that a look-up returns.
pub const MAX_ENTRIES: usize = 3;

/// The shortest lease worth a look-up. VMs whose drain starts within this time are avoided.
pub const LEASE_MIN: Millis = Millis::from_secs(1);

/// The result of a look-up; holds no heap allocation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lookup {
    /// The number of the site that holds the block.
    pub site: u16,
    /// The number of the region that serves the block.
    pub region: u16,
    /// The entry VMs to use, in order of preference.
    pub entries: Entries,
    /// Why the first entry VM was chosen.
    pub reason: Reason,
    /// When the first planned drain of one of the entry VMs starts; `None` without such a drain.
    pub drain_start: Option<Millis>,
}

/// Up to [`MAX_ENTRIES`] entry VMs, by their number in the snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Entries {
    vms: [u16; MAX_ENTRIES],
    len: u8,
}

impl Entries {
    /// The numbers of the VMs, in order of preference.
    pub fn as_slice(&self) -> &[u16] {
        &self.vms[..usize::from(self.len)]
    }

    fn is_full(&self) -> bool {
        usize::from(self.len) == MAX_ENTRIES
    }

    fn push(&mut self, vm: u16) {
        self.vms[usize::from(self.len)] = vm;
        self.len += 1;
    }
}

/// Why an entry VM was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It ranks first for the block in the region that serves the block.
    Ranked,
    /// The region has no VM fit for new requests, so one of the next region by delay is used.
    NextRegion,
    /// No live VM has a share of the caps in the plan in force.
    NoShare,
    /// Every VM is suspected, leaving or drained.
    AllSuspect,
    /// Every VM is drained or leaving.
    AllLeaving,
}

impl Reason {
    /// The value in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Ranked => "ranked",
            Reason::NextRegion => "next_region",
            Reason::NoShare => "no_share",
            Reason::AllSuspect => "all_suspect",
            Reason::AllLeaving => "all_leaving",
        }
    }
}

/// How suitable a VM is as an entry, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fitness {
    Good,
    NoShare,
    Suspect,
    /// Leaving, drained or about to be drained.
    Leaving,
}

const BY_FITNESS: [Fitness; 4] =
    [Fitness::Good, Fitness::NoShare, Fitness::Suspect, Fitness::Leaving];

/// Chooses the entry VMs for requests from `block` to `service`, where `region` serves the block.
///
/// VMs are ranked by rendezvous hashing, so a VM that joins or leaves moves only the blocks that
/// rank it first. Further entry VMs come from other failure domains of the region and then from the
/// next region by delay, so that a caller has a working entry VM after the loss of one domain.
///
/// # Errors
///
/// [`Kind::UnknownBlock`] if no site holds the block, [`Kind::NotReady`] if there is no entry VM.
pub fn lookup(
    index: &Index,
    block: u32,
    service: &str,
    region: u16,
    now: Millis,
) -> Result<Lookup, Error> {
    let site = index.site(block).ok_or_else(|| unknown_block(block))?;
    let key = xxh3_64_with_seed(service.as_bytes(), u64::from(block));
    let mut ranking = Ranking { entries: Entries::default(), reason: None };
    add_good(index, key, region, now, &mut ranking);
    while !ranking.entries.is_full() && add_next(index, key, region, now, &mut ranking) {}
    let Ranking { entries, reason } = ranking;
    let reason =
        reason.ok_or_else(|| Error::new(Kind::NotReady, "the snapshot has no entry VM"))?;
    Ok(Lookup { site, region, entries, reason, drain_start: first_drain(index, &entries, now) })
}

/// A VM and its rendezvous score in one look-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scored {
    score: u64,
    vm: u16,
}

impl Scored {
    const NONE: Scored = Scored { score: 0, vm: u16::MAX };
}

/// The entry VMs chosen so far and why the first was chosen.
struct Ranking {
    entries: Entries,
    reason: Option<Reason>,
}

impl Ranking {
    fn push(&mut self, vm: u16, reason: Reason) {
        self.entries.push(vm);
        self.reason = self.reason.or(Some(reason));
    }
}

/// Adds the highest-scored good VM of each failure domain, region by region, in one pass over the
/// hashes.
fn add_good(index: &Index, key: u64, region: u16, now: Millis, ranking: &mut Ranking) {
    for candidate in index.nearest(region) {
        let mut best = [Scored::NONE; MAX_ENTRIES];
        for domain in index.domains_in(*candidate) {
            insert(&mut best, best_of(index, key, domain, now));
        }
        for found in best.iter().filter(|found| **found != Scored::NONE) {
            if ranking.entries.is_full() {
                return;
            }
            ranking.push(found.vm, reason_of(Fitness::Good, *candidate == region));
        }
    }
}

/// The highest-scored good VM of a failure domain, or [`Scored::NONE`].
fn best_of(index: &Index, key: u64, domain: &Domain, now: Millis) -> Scored {
    let mut best = Scored::NONE;
    for (hash, vm) in domain.hashes.iter().zip(&domain.vms) {
        best = best.max(Scored { score: score(key, *hash), vm: *vm });
    }
    for vm in &domain.others {
        let entry = index.vm(*vm);
        if fitness_of(entry, now) == Fitness::Good {
            best = best.max(Scored { score: score(key, entry.hash), vm: *vm });
        }
    }
    best
}

/// Inserts `found` into `best`, which is sorted by descending score; the lowest drops out.
fn insert(best: &mut [Scored; MAX_ENTRIES], found: Scored) {
    let mut found = found;
    for slot in best {
        if found.score > slot.score {
            std::mem::swap(slot, &mut found);
        }
    }
}

/// Adds one more VM after the best of each failure domain, by falling fitness. Good VMs of failure
/// domains already used come first. Returns false if no VM is left.
fn add_next(index: &Index, key: u64, region: u16, now: Millis, ranking: &mut Ranking) -> bool {
    for fitness in BY_FITNESS {
        for candidate in index.nearest(region) {
            let is_candidate = |vm: u16| {
                fitness_of(index.vm(vm), now) == fitness
                    && !ranking.entries.as_slice().contains(&vm)
            };
            if let Some(vm) = highest(index, key, *candidate, is_candidate) {
                ranking.push(vm, reason_of(fitness, *candidate == region));
                return true;
            }
        }
    }
    false
}

/// The highest-scored VM of `region` for which `is_candidate` holds.
fn highest<Filter>(index: &Index, key: u64, region: u16, is_candidate: Filter) -> Option<u16>
where
    Filter: Fn(u16) -> bool,
{
    let domains = index.domains_in(region).iter();
    let vms = domains.flat_map(|domain| domain.vms.iter().chain(&domain.others)).copied();
    let candidates = vms.filter(|vm| is_candidate(*vm));
    candidates.max_by_key(|vm| score(key, index.vm(*vm).hash))
}

/// The rendezvous score: the SplitMix64 finalizer mixes all bits of the key and of the VM's hash.
fn score(key: u64, vm: u64) -> u64 {
    let mut mixed = key ^ vm;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The fitness of a VM; drains that start within [`LEASE_MIN`] count already.
fn fitness_of(entry: &Entry, now: Millis) -> Fitness {
    let is_avoided = |start: Millis, end: Millis| start <= now + LEASE_MIN && now < end;
    if entry.state == State::Leaving
        || entry.drains.iter().any(|drain| is_avoided(drain.start, drain.end))
    {
        return Fitness::Leaving;
    }
    match (entry.state, entry.has_share) {
        (State::Live, true) => Fitness::Good,
        (State::Live, false) => Fitness::NoShare,
        _ => Fitness::Suspect,
    }
}

fn reason_of(fitness: Fitness, in_region: bool) -> Reason {
    match fitness {
        Fitness::Good if in_region => Reason::Ranked,
        Fitness::Good => Reason::NextRegion,
        Fitness::NoShare => Reason::NoShare,
        Fitness::Suspect => Reason::AllSuspect,
        Fitness::Leaving => Reason::AllLeaving,
    }
}

/// When the first planned drain of `entries` after `now` starts.
fn first_drain(index: &Index, entries: &Entries, now: Millis) -> Option<Millis> {
    let drains = entries.as_slice().iter().flat_map(|vm| &index.vm(*vm).drains);
    drains.map(|drain| drain.start).filter(|start| *start > now).min()
}

fn unknown_block(block: u32) -> Error {
    Error::new(Kind::UnknownBlock, format!("no site holds block {block}"))
}
