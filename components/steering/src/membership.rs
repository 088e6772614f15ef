//! Tracks which entry VMs are alive, by heartbeats that peers forward to each other.
//!
//! A VM counts as alive while its heartbeat counter increases, whichever peer forwards it, so
//! neither clocks nor the age of a message matter. See docs/DATAPATH.md, "Membership".

use clock::Millis;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

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
}

impl Members {
    /// The members as known to the VM `own`. A VM counts as dead once its counter has stood still
    /// for `dead_after` and is forgotten after `forget_after`.
    pub fn new(own: Arc<str>, dead_after: Millis, forget_after: Millis) -> Members {
        Members { own, known: HashMap::new(), names: HashMap::new(), dead_after, forget_after }
    }

    /// Takes over a VM's description if it is newer; returns true if the VM was unknown, dead or
    /// has restarted.
    pub fn update(&mut self, member: Member, now: Millis) -> bool {
        if member.vm == self.own {
            return false;
        }
        let dead_after = self.dead_after;
        let key = member.key();
        let Some(known) = self.known.get_mut(&member.vm) else {
            self.names.insert(key, Arc::clone(&member.vm));
            self.known.insert(Arc::clone(&member.vm), Known { member, advanced: now });
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
        *known = Known { member, advanced: now };
        is_new || was_dead
    }

    /// What is known of a VM that describes itself with an older incarnation: its clock went back
    /// between two starts. Told of it, the VM takes a newer one.
    pub fn superseding(&self, member: &Member) -> Option<&Member> {
        let known = &self.known.get(&member.vm)?.member;
        (known.incarnation > member.incarnation).then_some(known)
    }

    /// Takes over a summary if it is newer; returns the name of the VM if it counted as dead.
    /// Summaries of a VM whose description has not arrived are ignored.
    pub fn update_summary(&mut self, summary: Summary, now: Millis) -> Option<Arc<str>> {
        let known = self.known.get_mut(self.names.get(&summary.key)?)?;
        if summary.counter <= known.member.counter {
            return None;
        }
        let was_dead = known.advanced + self.dead_after <= now;
        known.advanced = now;
        known.member.counter = summary.counter;
        known.member.ready = summary.ready;
        known.member.pressed = summary.pressed;
        was_dead.then(|| Arc::clone(&known.member.vm))
    }

    /// Summaries of up to `max` live VMs. Half of them are those whose counters increased last,
    /// which are new to most peers; the others are drawn at random.
    pub fn summaries<Random>(&self, max: usize, now: Millis, random: &mut Random) -> Vec<Summary>
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
        alive.into_iter().map(|known| known.member.summary()).collect()
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
