use crate::config::{GONE_AFTER, NOTICE_HOLD, NOTICE_REFRESH, UNSEEN_GONE_AFTER};
use crate::gossip::Queue;
use clock::Millis;
use peer::message::{MAX_NOTICES, MAX_RECORDS, Notice, Record, Sample};
use platform::{Listing, Machine, Role};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use steering::{State, Upstream, Vm};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Records in one part of a roster, on average.
const PART_RECORDS: usize = 12;

/// The most records of one part that a reply brings.
const MAX_PART: usize = 32;

/// The entry VMs and upstreams that a node knows of.
///
/// Heartbeats say which VMs answer; only the platform's list says that one is gone for good. See
/// docs/MEMBERSHIP.md.
pub struct Roster {
    own: Record,
    records: BTreeMap<Arc<str>, Record>,
    upstreams: BTreeMap<Arc<str>, Upstream>,
    /// When a source last said that the upstream is leaving.
    notices: BTreeMap<Arc<str>, Millis>,
    /// Since when a VM that was listed is missing from the platform's list.
    missing: BTreeMap<Arc<str>, Millis>,
    /// VMs that this node has seen in the platform's list.
    listed: BTreeSet<Arc<str>>,
    /// VMs that it has only heard of from the plan.
    expected: BTreeSet<Arc<str>>,
    gone: BTreeSet<Arc<str>>,
    fresh_records: Queue,
    fresh_notices: Queue,
}

impl Roster {
    /// A roster that knows only the node itself.
    pub fn new(own: Record) -> Roster {
        let mut roster = Roster {
            records: BTreeMap::from([(Arc::clone(&own.vm.name), own.clone())]),
            own,
            upstreams: BTreeMap::new(),
            notices: BTreeMap::new(),
            missing: BTreeMap::new(),
            listed: BTreeSet::new(),
            expected: BTreeSet::new(),
            gone: BTreeSet::new(),
            fresh_records: Queue::default(),
            fresh_notices: Queue::default(),
        };
        roster.fresh_records.push(roster.name(), 1);
        roster
    }

    /// The node's own name.
    pub fn name(&self) -> Arc<str> {
        Arc::clone(&self.own.vm.name)
    }

    /// The node's statement about itself.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Changes what the node states about itself; returns whether anything changed.
    pub fn state_own<F>(&mut self, edit: F) -> bool
    where
        F: FnOnce(&mut Vm),
    {
        let mut vm = self.own.vm.clone();
        edit(&mut vm);
        if vm == self.own.vm {
            return false;
        }
        self.own.vm = vm;
        self.raise_own(self.own.beat + 1);
        true
    }

    fn raise_own(&mut self, beat: u64) {
        self.own.beat = beat;
        self.records.insert(self.name(), self.own.clone());
        self.fresh_records.push(self.name(), self.records.len());
    }

    /// Takes in a record that a peer passes on; returns whether it changed anything.
    ///
    /// A record that is news is passed on; one that is known already is passed on less.
    pub fn merge(&mut self, record: Record) -> bool {
        let name = Arc::clone(&record.vm.name);
        let known = self.records.get(&name).is_some_and(|known| rank(known) == rank(&record));
        if known {
            self.fresh_records.heard(&name);
            return false;
        }
        let changed = self.adopt(record);
        if changed {
            self.fresh_records.push(name, self.records.len());
        }
        changed
    }

    /// Takes in a record that the others get from the same source.
    pub fn adopt(&mut self, record: Record) -> bool {
        if record.vm.name == self.own.vm.name {
            return self.refute(&record);
        }
        if self.gone.contains(&record.vm.name) {
            return false;
        }
        match self.records.get(&record.vm.name) {
            Some(known) if rank(known) >= rank(&record) => return false,
            _ => {}
        }
        self.records.insert(Arc::clone(&record.vm.name), record);
        true
    }

    /// Contradicts a record of this node that others hold and that isn't its own.
    fn refute(&mut self, record: &Record) -> bool {
        if record.beat < self.own.beat || *record == self.own {
            return false;
        }
        self.raise_own(record.beat + 1);
        true
    }

    /// Marks a peer that doesn't answer; returns whether it was live before.
    pub fn suspect(&mut self, name: &str) -> bool {
        let Some(record) = self.records.get(name) else { return false };
        if record.vm.state != State::Live || *name == *self.own.vm.name {
            return false;
        }
        let mut record = record.clone();
        record.vm.state = State::Suspect;
        self.merge(record)
    }

    /// Takes in the platform's list; returns whether anything changed.
    pub fn list(&mut self, listing: &Listing, now: Millis) -> bool {
        let before = (self.records.len(), self.upstreams.len());
        let mut changed = false;
        let mut upstreams = BTreeMap::new();
        let mut present = BTreeSet::new();
        for machine in &listing.machines {
            present.insert(Arc::clone(&machine.name));
            match &machine.role {
                Role::Entry { .. } => changed |= self.list_entry(machine),
                Role::Upstream { service, address } => {
                    let upstream = list_upstream(machine, service, *address);
                    upstreams.insert(Arc::clone(&machine.name), upstream);
                }
            }
        }
        changed |= self.replace_upstreams(upstreams, now);
        changed |= self.forget_missing(&present, now);
        changed || before != (self.records.len(), self.upstreams.len())
    }

    fn list_entry(&mut self, machine: &Machine) -> bool {
        self.listed.insert(Arc::clone(&machine.name));
        self.expected.remove(&machine.name);
        self.gone.remove(&machine.name);
        let Role::Entry { caller, relay, peer } = machine.role else { return false };
        let mut record = match self.records.get(&machine.name) {
            Some(known) => known.clone(),
            None => Record {
                vm: Vm {
                    name: Arc::clone(&machine.name),
                    incarnation: 0,
                    domain: Arc::clone(&machine.domain),
                    caller,
                    relay,
                    peer,
                    state: State::Live,
                },
                beat: 0,
            },
        };
        if machine.leaving {
            record.vm.state = State::Leaving;
        }
        if record.vm.name == self.own.vm.name {
            let leaving = machine.leaving;
            return self.state_own(|vm| {
                if leaving {
                    vm.state = State::Leaving;
                }
            });
        }
        self.adopt(record)
    }

    fn replace_upstreams(&mut self, upstreams: BTreeMap<Arc<str>, Upstream>, now: Millis) -> bool {
        for upstream in upstreams.values().filter(|upstream| upstream.state == State::Leaving) {
            self.notice(Arc::clone(&upstream.name), now);
        }
        let changed = upstreams != self.upstreams;
        self.upstreams = upstreams;
        changed
    }

    /// Takes a peer's upstreams, unless the platform's list was read here or another peer told of
    /// some already.
    pub fn adopt_upstreams(&mut self, upstreams: Vec<Upstream>) {
        if self.has_listing() || !self.upstreams.is_empty() {
            return;
        }
        let named = upstreams.into_iter().map(|upstream| (Arc::clone(&upstream.name), upstream));
        self.upstreams = named.collect();
    }

    /// Whether the platform's list was ever read.
    pub fn has_listing(&self) -> bool {
        !self.listed.is_empty()
    }

    /// Whether the platform's list has shown for long enough that a VM is gone for good.
    pub fn is_gone(&self, name: &str) -> bool {
        self.gone.contains(name)
    }

    /// Watches the platform's list for a VM that this node never saw itself.
    pub fn expect(&mut self, name: &Arc<str>) {
        if !self.gone.contains(name) && !self.listed.contains(name) {
            self.expected.insert(Arc::clone(name));
        }
    }

    /// Forgets VMs that don't answer and are missing from the list for long enough.
    fn forget_missing(&mut self, present: &BTreeSet<Arc<str>>, now: Millis) -> bool {
        let mut changed = false;
        self.missing.retain(|name, _| !present.contains(name));
        let watched: Vec<Arc<str>> = self.listed.union(&self.expected).cloned().collect();
        for name in watched {
            if present.contains(&name) || name == self.own.vm.name {
                continue;
            }
            let since = *self.missing.entry(Arc::clone(&name)).or_insert(now);
            let after = if self.listed.contains(&name) { GONE_AFTER } else { UNSEEN_GONE_AFTER };
            let answers = self.records.get(&name).is_some_and(|record| answers(&record.vm));
            if now - since >= after && !answers {
                changed |= self.records.remove(&name).is_some();
                self.listed.remove(&name);
                self.expected.remove(&name);
                self.missing.remove(&name);
                self.gone.insert(name);
            }
        }
        changed
    }

    /// Notes that a source says an upstream is leaving; returns whether that is new.
    pub fn notice(&mut self, upstream: Arc<str>, seen: Millis) -> bool {
        let known = self.notices.get(&upstream).copied();
        if known.is_some_and(|known| seen <= known) {
            return false;
        }
        if known.is_none_or(|known| seen - known >= NOTICE_REFRESH) {
            self.fresh_notices.push(Arc::clone(&upstream), self.records.len());
        }
        self.notices.insert(upstream, seen);
        known.is_none_or(|known| seen - known >= NOTICE_HOLD)
    }

    /// Ends notices that no source has repeated; returns whether there were any.
    pub fn expire(&mut self, now: Millis) -> bool {
        let before = self.notices.len();
        self.notices.retain(|_, seen| now - *seen < NOTICE_HOLD);
        before != self.notices.len()
    }

    /// Whether there are changes to pass on.
    pub fn has_news(&self) -> bool {
        !self.fresh_records.is_empty() || !self.fresh_notices.is_empty()
    }

    /// Takes the records to send to `peer`, one that suspects it among them.
    pub fn take_records(&mut self, peer: Option<&str>) -> Vec<Record> {
        let mut names = self.fresh_records.take(MAX_RECORDS - 1);
        names.retain(|name| *name != self.own.vm.name);
        let suspected = peer.and_then(|peer| self.records.get(peer));
        if let Some(record) = suspected.filter(|record| record.vm.state == State::Suspect)
            && !names.contains(&record.vm.name)
        {
            names.push(Arc::clone(&record.vm.name));
        }
        names.iter().filter_map(|name| self.records.get(name)).cloned().collect()
    }

    /// A sample of one part of the roster, chosen by `draw`.
    pub fn sample(&self, draw: u16) -> Sample {
        let parts = self.records.len().div_ceil(PART_RECORDS).min(usize::from(u16::MAX)) as u16;
        let part = draw % parts.max(1);
        Sample { part, parts, digest: self.digest(part, parts) }
    }

    /// The records of the sampled part, unless this roster has the same there.
    pub fn differing(&self, sample: Sample) -> Vec<Record> {
        if sample.parts == 0 || self.digest(sample.part, sample.parts) == sample.digest {
            return Vec::new();
        }
        self.part(sample.part, sample.parts).take(MAX_PART).cloned().collect()
    }

    fn part(&self, part: u16, parts: u16) -> impl Iterator<Item = &Record> {
        let parts = u64::from(parts.max(1));
        self.records
            .values()
            .filter(move |record| xxh3_64(record.vm.name.as_bytes()) % parts == u64::from(part))
    }

    fn digest(&self, part: u16, parts: u16) -> u64 {
        let digest = |record: &Record| {
            let name = xxh3_64(record.vm.name.as_bytes());
            xxh3_64_with_seed(&record.beat.to_le_bytes(), name ^ record.vm.state as u64)
        };
        self.part(part, parts).fold(0, |sum, record| sum ^ digest(record))
    }

    /// Takes the notices to send.
    pub fn take_notices(&mut self, now: Millis) -> Vec<Notice> {
        let names = self.fresh_notices.take(MAX_NOTICES);
        let notice = |name: Arc<str>| {
            let age = now - *self.notices.get(&name)?;
            Some(Notice { upstream: name, age })
        };
        names.into_iter().filter_map(notice).collect()
    }

    /// All records, sorted by name.
    pub fn records(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// The record of one VM.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    /// Every VM but this one, sorted by name.
    pub fn others(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.vm.name != self.own.vm.name)
    }

    /// Names of the VMs that take part in the spread of news, this one included, sorted.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.records.keys().cloned().collect()
    }

    /// Number of VMs known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no VM is known; never true, since a node knows itself.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Entry VMs as decisions read them.
    pub fn vms(&self) -> Vec<Vm> {
        self.records.values().map(|record| record.vm.clone()).collect()
    }

    /// Upstreams as decisions read them.
    pub fn upstreams(&self, now: Millis) -> Vec<Upstream> {
        let mark = |upstream: &Upstream| {
            let mut upstream = upstream.clone();
            let seen = self.notices.get(&upstream.name);
            if seen.is_some_and(|seen| now - *seen < NOTICE_HOLD) {
                upstream.state = State::Leaving;
            }
            upstream
        };
        self.upstreams.values().map(mark).collect()
    }
}

/// The order of the records of one VM.
fn rank(record: &Record) -> (u64, State) {
    (record.beat, record.vm.state)
}

fn answers(vm: &Vm) -> bool {
    vm.state != State::Suspect
}

fn list_upstream(machine: &Machine, service: &Arc<str>, address: SocketAddr) -> Upstream {
    Upstream {
        name: Arc::clone(&machine.name),
        service: Arc::clone(service),
        domain: Arc::clone(&machine.domain),
        address,
        state: if machine.leaving { State::Leaving } else { State::Live },
    }
}
