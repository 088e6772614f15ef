use crate::index::{Entry, Group};
use crate::{Index, State};
use clock::Millis;
use errors::{Error, Kind};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most entry VMs that a look-up names.
pub const MAX_ENTRIES: usize = 3;

/// A lease shorter than this isn't worth a look-up, so a VM whose drain starts sooner is avoided.
pub const LEASE_MIN: Millis = Millis::from_secs(1);

/// The answer to a look-up, without any allocation.
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
    /// When the first planned drain of one of the entries starts.
    pub drain_start: Option<Millis>,
}

/// Up to [`MAX_ENTRIES`] entry VMs, by their number in the snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Entries {
    vms: [u16; MAX_ENTRIES],
    len: u8,
}

impl Entries {
    /// The VMs, in order of preference.
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
    /// It ranks first for the block in the block's region.
    Ranked,
    /// The block's region has no VM that takes new work, so one in the next region is used.
    NextRegion,
    /// Every live VM lacks a share of the caps in this plan.
    NoShare,
    /// No VM answers as live.
    AllSuspect,
    /// Every VM is draining or leaving.
    AllLeaving,
}

impl Reason {
    /// The name in logs and metrics.
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

/// How fit a VM is to be named, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fitness {
    Good,
    NoShare,
    Suspect,
    Leaving,
}

const BY_FITNESS: [Fitness; 4] =
    [Fitness::Good, Fitness::NoShare, Fitness::Suspect, Fitness::Leaving];

/// Chooses the entry VMs for `block` and `service`, with `region` to serve the block.
///
/// VMs are ranked by rendezvous hashing, so a VM that joins or goes moves only the blocks that
/// rank it first. Later entries come from other failure domains of the region, then from the next
/// region by delay, so that the loss of one domain leaves the caller with an entry that works.
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
    let site = index.site(block).ok_or_else(|| unknown(block))?;
    let key = xxh3_64_with_seed(service.as_bytes(), u64::from(block));
    let mut ranking = Ranking { entries: Entries::default(), reason: None };
    name_good(index, key, region, now, &mut ranking);
    while !ranking.entries.is_full() && name_other(index, key, region, now, &mut ranking) {}
    let Ranking { entries, reason } = ranking;
    let reason = reason.ok_or_else(|| Error::new(Kind::NotReady, "no entry VM is known"))?;
    Ok(Lookup { site, region, entries, reason, drain_start: first_drain(index, &entries, now) })
}

/// A VM and its rank for one look-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scored {
    score: u64,
    vm: u16,
}

impl Scored {
    const NONE: Scored = Scored { score: 0, vm: u16::MAX };
}

/// The entries named so far and why the first was chosen.
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

/// Names the best VM of each failure domain, region by region, with one pass over the hashes.
fn name_good(index: &Index, key: u64, region: u16, now: Millis, ranking: &mut Ranking) {
    for candidate in index.nearest(region) {
        let mut best = [Scored::NONE; MAX_ENTRIES];
        for group in index.domains_in(*candidate) {
            insert(&mut best, best_of(index, key, group, now));
        }
        for found in best.iter().filter(|found| **found != Scored::NONE) {
            if ranking.entries.is_full() {
                return;
            }
            ranking.push(found.vm, reason_of(Fitness::Good, *candidate == region));
        }
    }
}

fn best_of(index: &Index, key: u64, group: &Group, now: Millis) -> Scored {
    let mut best = Scored::NONE;
    for (hash, vm) in group.hashes.iter().zip(&group.vms) {
        best = best.max(Scored { score: score(key, *hash), vm: *vm });
    }
    for vm in &group.others {
        let entry = index.vm(*vm);
        if fitness_of(entry, now) == Fitness::Good {
            best = best.max(Scored { score: score(key, entry.hash), vm: *vm });
        }
    }
    best
}

/// Keeps `best` sorted from the highest score down.
fn insert(best: &mut [Scored; MAX_ENTRIES], found: Scored) {
    let mut found = found;
    for slot in best {
        if found.score > slot.score {
            std::mem::swap(slot, &mut found);
        }
    }
}

/// Names one more VM when the failure domains have no more good ones: first a second one of a
/// domain that is named already, then by falling fitness.
fn name_other(index: &Index, key: u64, region: u16, now: Millis, ranking: &mut Ranking) -> bool {
    for fitness in BY_FITNESS {
        for candidate in index.nearest(region) {
            let fit = |vm: u16| {
                fitness_of(index.vm(vm), now) == fitness
                    && !ranking.entries.as_slice().contains(&vm)
            };
            if let Some(vm) = highest(index, key, *candidate, fit) {
                ranking.push(vm, reason_of(fitness, *candidate == region));
                return true;
            }
        }
    }
    false
}

fn highest<Fit>(index: &Index, key: u64, region: u16, fit: Fit) -> Option<u16>
where
    Fit: Fn(u16) -> bool,
{
    let groups = index.domains_in(region).iter();
    let vms = groups.flat_map(|group| group.vms.iter().chain(&group.others)).copied();
    let candidates = vms.filter(|vm| fit(*vm));
    candidates.max_by_key(|vm| score(key, index.vm(*vm).hash))
}

/// Mixes the key and a VM's hash so that every bit of both counts (the finalizer of SplitMix64).
fn score(key: u64, vm: u64) -> u64 {
    let mut mixed = key ^ vm;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn fitness_of(entry: &Entry, now: Millis) -> Fitness {
    let draining = |start: Millis, end: Millis| start <= now + LEASE_MIN && now < end;
    if entry.state == State::Leaving
        || entry.drains.iter().any(|drain| draining(drain.start, drain.end))
    {
        return Fitness::Leaving;
    }
    match (entry.state, entry.member) {
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

fn first_drain(index: &Index, entries: &Entries, now: Millis) -> Option<Millis> {
    let drains = entries.as_slice().iter().flat_map(|vm| &index.vm(*vm).drains);
    drains.map(|drain| drain.start).filter(|start| *start > now).min()
}

fn unknown(block: u32) -> Error {
    Error::new(Kind::UnknownBlock, format!("no site holds block {block}"))
}
