//! Tracks which entry VMs are alive, by heartbeats that peers forward to each other.
//!
//! A VM counts as alive while its heartbeat counter increases, whichever peer forwards it. Peers say
//! how long ago it did, so that a counter which is forwarded late keeps no dead VM alive. A VM that
//! seems silent gets a request for a heartbeat before it counts as dead. See docs/DATAPATH.md, "Membership".

use clock::Millis;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The part of the time without heartbeats until death after which one is requested of a VM. Its
/// heartbeats may just not have been forwarded to this VM.
const SUSPECT_PART: (u64, u64) = (2, 3);
/// Least time between two requests to one VM.
const REQUEST_INTERVAL: Millis = Millis(400);
/// Requests at a time; after the loss of most VMs, those that are left send more in their next
/// round.
const MAX_SUSPECTS: usize = 256;

/// VMs that a heartbeat summarises in a small fleet, in about 10 bytes each.
const MIN_SUMMARIES: usize = 100;
/// The part of a large fleet that a heartbeat summarises. With less, requests for heartbeats take
/// more bytes than summaries save; docs/CAPACITY.md has the figures.
const SUMMARY_PART: (usize, usize) = (2, 3);
/// Most VMs that a heartbeat summarises, in about 4 KB.
const MAX_SUMMARIES: usize = 300;

/// The number of VMs that a heartbeat summarises in a fleet of `live` VMs.
pub fn summary_count(live: usize) -> usize {
    let (part, whole) = SUMMARY_PART;
    (live * part / whole).clamp(MIN_SUMMARIES, MAX_SUMMARIES)
}

/// Peers that get a heartbeat in each round.
const FAN_OUT: usize = 3;
/// How many of them are in the sender's region. Bytes between regions are scarce, and one heartbeat a
/// round and VM carries news to the others soon enough.
const NEAR_FAN_OUT: usize = 2;
/// In how many rounds one of these is in another failure domain of the region at most; in fewer if
/// the other domains are a smaller part of the region, so that their few VMs don't get most of them.
const DOMAIN_ROUNDS: (u32, u32) = (1, 4);

/// The live peers of a VM, by where they are.
#[derive(Clone, Copy, Debug)]
pub struct Peers<'a, Peer> {
    /// Those in its failure domain.
    pub domain: &'a [Peer],
    /// Those in the other failure domains of its region.
    pub region: &'a [Peer],
    /// Those in other regions.
    pub elsewhere: &'a [Peer],
}

/// Draws the peers that get a heartbeat in a round.
pub fn draw_targets<'a, Peer, Random>(peers: Peers<'a, Peer>, random: &mut Random) -> Vec<&'a Peer>
where
    Random: Rng,
{
    let Peers { domain, region, elsewhere } = peers;
    let near = domain.len() + region.len();
    let elsewhere_count = (FAN_OUT - NEAR_FAN_OUT.min(near)).min(elsewhere.len());
    let near_count = FAN_OUT - elsewhere_count;
    let (part, whole) = DOMAIN_ROUNDS;
    let is_small = region.len() * (whole as usize) < near * part as usize;
    let crosses = match is_small {
        true => random.random_range(0..near) < region.len(),
        false => random.random_ratio(part, whole),
    };
    let domain_count = (near_count - usize::from(crosses && !region.is_empty())).min(domain.len());
    let drawn = domain.sample(random, domain_count);
    let drawn = drawn.chain(region.sample(random, near_count - domain_count));
    drawn.chain(elsewhere.sample(random, elsewhere_count)).collect()
}

/// An entry VM's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address where peers fetch changes that they missed.
    pub changes: SocketAddr,
    /// Address for heartbeats of peers.
    pub heartbeats: SocketAddr,
    /// Increases at each start of the VM; the time of its start, unless peers know a later one.
    pub incarnation: u64,
    /// Heartbeat counter.
    pub counter: u64,
    /// Whether look-ups may return it.
    pub ready: bool,
    /// CPU share, in thousandths of a core.
    pub millicores: u32,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Whether it is under CPU pressure: its work is delayed for lack of CPU time.
    pub pressed: bool,
}

/// What a heartbeat contains about other VMs, kept short so that it can cover very many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Hash of the VM's name and incarnation.
    pub key: u32,
    /// Heartbeat counter.
    pub counter: u64,
    /// Whether look-ups may return it.
    pub ready: bool,
    /// Whether it is under CPU pressure.
    pub pressed: bool,
}

impl Member {
    /// Hash of the name and incarnation.
    fn key(&self) -> u32 {
        xxh3_64_with_seed(self.vm.as_bytes(), self.incarnation) as u32
    }

    fn summary(&self) -> Summary {
        Summary { key: self.key(), counter: self.counter, ready: self.ready, pressed: self.pressed }
    }
}

/// All known VMs other than this one, and when their heartbeat counters last increased.
#[derive(Debug)]
pub struct Members {
    own: Arc<str>,
    known: HashMap<Arc<str>, Known>,
    /// Names by the keys of summaries.
    names: HashMap<u32, Arc<str>>,
    dead_after: Millis,
    forget_after: Millis,
}

#[derive(Debug)]
struct Known {
    member: Member,
    advanced: Millis,
    /// When a heartbeat was last requested from it.
    requested: Option<Millis>,
}

impl Members {
    /// The members as known to the VM `own`. A VM counts as dead once its counter has stood still
    /// for `dead_after` and is forgotten after `forget_after`.
    pub fn new(own: Arc<str>, dead_after: Millis, forget_after: Millis) -> Members {
        Members { own, known: HashMap::new(), names: HashMap::new(), dead_after, forget_after }
    }

    /// Takes over a VM's description if it is newer; returns true if the VM is alive and was unknown,
    /// dead or has restarted. `age` is the time since its counter increased.
    pub fn update(&mut self, member: Member, age: Millis, now: Millis) -> bool {
        let dead_after = self.dead_after;
        if member.vm == self.own || age >= dead_after {
            return false;
        }
        let advanced = now - age;
        let key = member.key();
        let Some(known) = self.known.get_mut(&member.vm) else {
            self.names.insert(key, Arc::clone(&member.vm));
            let known = Known { member, advanced, requested: None };
            self.known.insert(Arc::clone(&known.member.vm), known);
            return true;
        };
        let position = (known.member.incarnation, known.member.counter);
        if (member.incarnation, member.counter) <= position {
            return false;
        }
        let is_new = member.incarnation > known.member.incarnation;
        let was_dead = known.advanced + dead_after <= now;
        self.names.remove(&known.member.key());
        self.names.insert(key, Arc::clone(&member.vm));
        let advanced = if is_new { advanced } else { advanced.max(known.advanced) };
        *known = Known { member, advanced, requested: None };
        is_new || was_dead
    }

    /// What is known of a VM that describes itself with an older incarnation: its clock went back
    /// between two starts. Told of it, the VM takes a newer one.
    pub fn superseding(&self, member: &Member) -> Option<&Member> {
        let known = &self.known.get(&member.vm)?.member;
        (known.incarnation > member.incarnation).then_some(known)
    }

    /// Takes over a summary if it is newer; returns the name of the VM if it is alive and counted as
    /// dead. `age` is the time since its counter increased. Summaries of a VM whose description has
    /// not arrived are ignored.
    pub fn update_summary(
        &mut self,
        summary: Summary,
        age: Millis,
        now: Millis,
    ) -> Option<Arc<str>> {
        if age >= self.dead_after {
            return None;
        }
        let known = self.known.get_mut(self.names.get(&summary.key)?)?;
        if summary.counter <= known.member.counter {
            return None;
        }
        let was_dead = known.advanced + self.dead_after <= now;
        known.advanced = known.advanced.max(now - age);
        known.member.counter = summary.counter;
        known.member.ready = summary.ready;
        known.member.pressed = summary.pressed;
        was_dead.then(|| Arc::clone(&known.member.vm))
    }

    /// Summaries of up to `max` live VMs, each with the time since its counter increased. Half of them
    /// are those whose counters increased last, which are new to most peers; the others are drawn at
    /// random.
    pub fn summaries<Random>(
        &self,
        max: usize,
        now: Millis,
        random: &mut Random,
    ) -> Vec<(Summary, Millis)>
    where
        Random: Rng,
    {
        let dead_after = self.dead_after;
        let mut alive: Vec<&Known> =
            self.known.values().filter(|known| now < known.advanced + dead_after).collect();
        if alive.len() > max {
            alive.sort_unstable_by_key(|known| Reverse(known.advanced));
            alive[max / 2..].shuffle(random);
            alive.truncate(max);
        }
        alive.into_iter().map(|known| (known.member.summary(), now - known.advanced)).collect()
    }

    /// The time since the counter of a VM increased; zero if it isn't known.
    pub fn age(&self, vm: &str, now: Millis) -> Millis {
        self.known.get(vm).map_or(Millis::ZERO, |known| now - known.advanced)
    }

    /// The other VMs that are alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        self.active_within(now, self.dead_after)
    }

    /// Number of other VMs that were alive within `forget_after` and may still use up shared
    /// limits.
    pub fn recent(&self, now: Millis) -> usize {
        self.active_within(now, self.forget_after).count()
    }

    /// The addresses of the VMs that are about to count as dead, to request a heartbeat from each.
    /// Those that have been silent for longest come first.
    pub fn suspects(&mut self, now: Millis) -> Vec<SocketAddr> {
        let (part, whole) = SUSPECT_PART;
        let suspect_after = Millis(self.dead_after.0 * part / whole);
        let is_suspect = |known: &&mut Known| {
            known.advanced + suspect_after <= now
                && now < known.advanced + self.dead_after
                && known.requested.is_none_or(|requested| requested + REQUEST_INTERVAL <= now)
        };
        let mut suspects: Vec<&mut Known> = self.known.values_mut().filter(is_suspect).collect();
        suspects.sort_unstable_by_key(|known| known.advanced);
        suspects.truncate(MAX_SUSPECTS);
        let request = |known: &mut Known| {
            known.requested = Some(now);
            known.member.heartbeats
        };
        suspects.into_iter().map(request).collect()
    }

    /// Forgets the VMs that have been dead for long; returns the names of those that died after
    /// `since`.
    pub fn expire(&mut self, now: Millis, since: Millis) -> Vec<Arc<str>> {
        let forget_after = self.forget_after;
        self.known.retain(|_, known| now < known.advanced + forget_after);
        let known = &self.known;
        self.names.retain(|_, name| known.contains_key(name));
        let dead_after = self.dead_after;
        let just_died = |known: &&Known| {
            let death = known.advanced + dead_after;
            since < death && death <= now
        };
        self.known.values().filter(just_died).map(|known| Arc::clone(&known.member.vm)).collect()
    }

    fn active_within(&self, now: Millis, span: Millis) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .filter(move |known| now < known.advanced + span)
            .map(|known| &known.member)
    }
}
