//! Which entry VMs are alive, learnt from heartbeats that spread from neighbour to neighbour.
//!
//! A VM counts as alive while its own counter moves, whoever passes it on, so neither clocks nor
//! the freshness of a message matter. See docs/DATAPATH.md, "Membership".

use clock::Millis;
use rand::Rng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How an entry VM describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where neighbours reach it for changes that they missed.
    pub changes: SocketAddr,
    /// Where neighbours send heartbeats.
    pub heartbeats: SocketAddr,
    /// A number that grows with each start.
    pub incarnation: u64,
    /// A number that grows with each heartbeat.
    pub beat: u64,
    /// Whether callers should be sent there.
    pub ready: bool,
    /// Its part of a processor, in thousandths.
    pub millicores: u32,
    /// The bandwidth of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Whether its work comes late for want of processor time.
    pub pressed: bool,
}

/// The least that a heartbeat tells of another VM, so that it can tell of very many.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// A hash of the VM's name and incarnation.
    pub key: u32,
    /// Its number of heartbeats.
    pub beat: u64,
    /// Whether callers should be sent there.
    pub ready: bool,
    /// Whether its work comes late for want of processor time.
    pub pressed: bool,
}

impl Member {
    /// A hash of the name and incarnation.
    fn key(&self) -> u32 {
        xxh3_64_with_seed(self.vm.as_bytes(), self.incarnation) as u32
    }

    fn summary(&self) -> Summary {
        Summary { key: self.key(), beat: self.beat, ready: self.ready, pressed: self.pressed }
    }
}

/// All VMs that were ever heard of, and when their counters last moved.
#[derive(Debug)]
pub struct Members {
    own: Arc<str>,
    heard: HashMap<Arc<str>, Heard>,
    /// Names by the keys of beats.
    names: HashMap<u32, Arc<str>>,
    silence: Millis,
    memory: Millis,
}

#[derive(Debug)]
struct Heard {
    member: Member,
    moved: Millis,
}

impl Members {
    /// Members as seen by the VM `own`; one counts as dead after `silence` and is forgotten after
    /// `memory`.
    pub fn new(own: Arc<str>, silence: Millis, memory: Millis) -> Members {
        Members { own, heard: HashMap::new(), names: HashMap::new(), silence, memory }
    }

    /// Takes in what was heard of a VM; true if it was not known, had counted as dead or
    /// has started again.
    pub fn update(&mut self, member: Member, now: Millis) -> bool {
        if member.vm == self.own {
            return false;
        }
        let silence = self.silence;
        let key = member.key();
        let Some(known) = self.heard.get_mut(&member.vm) else {
            self.names.insert(key, Arc::clone(&member.vm));
            self.heard.insert(Arc::clone(&member.vm), Heard { member, moved: now });
            return true;
        };
        let order = (known.member.incarnation, known.member.beat);
        if (member.incarnation, member.beat) <= order {
            return false;
        }
        let is_new = member.incarnation > known.member.incarnation;
        let was_dead = known.moved + silence <= now;
        self.names.remove(&known.member.key());
        self.names.insert(key, Arc::clone(&member.vm));
        *known = Heard { member, moved: now };
        is_new || was_dead
    }

    /// Takes in the least that was heard of a VM; its name if it had counted as dead. One that is not
    /// known is left out until somebody tells all of it.
    pub fn update_summary(&mut self, beat: Summary, now: Millis) -> Option<Arc<str>> {
        let known = self.heard.get_mut(self.names.get(&beat.key)?)?;
        if beat.beat <= known.member.beat {
            return None;
        }
        let was_dead = known.moved + self.silence <= now;
        known.moved = now;
        known.member.beat = beat.beat;
        known.member.ready = beat.ready;
        known.member.pressed = beat.pressed;
        was_dead.then(|| Arc::clone(&known.member.vm))
    }

    /// The beats of up to `most` VMs that are alive: half of them those that moved last, which are
    /// news to most, and the others drawn.
    pub fn summaries<Random>(&self, most: usize, now: Millis, random: &mut Random) -> Vec<Summary>
    where
        Random: Rng,
    {
        let silence = self.silence;
        let mut alive: Vec<&Heard> =
            self.heard.values().filter(|heard| now < heard.moved + silence).collect();
        if alive.len() > most {
            alive.sort_unstable_by_key(|heard| Reverse(heard.moved));
            alive[most / 2..].shuffle(random);
            alive.truncate(most);
        }
        alive.into_iter().map(|heard| heard.member.summary()).collect()
    }

    /// The other VMs that are alive.
    pub fn alive(&self, now: Millis) -> impl Iterator<Item = &Member> {
        self.known(now, self.silence)
    }

    /// The other VMs that were alive within the memory, which bounds what they may still spend.
    pub fn recent(&self, now: Millis) -> usize {
        self.known(now, self.memory).count()
    }

    /// Forgets the VMs that have long been silent; gives the names of those that just died.
    pub fn expire(&mut self, now: Millis, since: Millis) -> Vec<Arc<str>> {
        let memory = self.memory;
        self.heard.retain(|_, heard| now < heard.moved + memory);
        let heard = &self.heard;
        self.names.retain(|_, name| heard.contains_key(name));
        let silence = self.silence;
        let died = |heard: &&Heard| {
            let death = heard.moved + silence;
            since < death && death <= now
        };
        self.heard.values().filter(died).map(|heard| Arc::clone(&heard.member.vm)).collect()
    }

    fn known(&self, now: Millis, span: Millis) -> impl Iterator<Item = &Member> {
        self.heard.values().filter(move |heard| now < heard.moved + span).map(|heard| &heard.member)
    }
}
