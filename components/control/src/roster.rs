use crate::gossip::Queue;
use crate::setup::{NOTICE_HOLD, NOTICE_REFRESH};
use clock::Millis;
use peer::message::{MAX_NOTICES, MAX_RECORDS, Notice, Record};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use steering::{State, Upstream, Vm};

/// The entry VMs and upstreams that a node knows of.
///
/// Heartbeats say which VMs answer; only the platform's list says that one is gone for good. See
/// docs/MEMBERSHIP.md.
pub struct Roster {
    pub(crate) own: Record,
    pub(crate) records: BTreeMap<Arc<str>, Record>,
    pub(crate) upstreams: BTreeMap<Arc<str>, Upstream>,
    /// When a source last said that the upstream is leaving.
    pub(crate) notices: BTreeMap<Arc<str>, Millis>,
    /// Since when a VM that was listed is missing from the platform's list.
    pub(crate) missing: BTreeMap<Arc<str>, Millis>,
    /// VMs that this node has seen in the platform's list.
    pub(crate) listed: BTreeSet<Arc<str>>,
    /// VMs that it has only heard of from the plan.
    pub(crate) expected: BTreeSet<Arc<str>>,
    pub(crate) gone: BTreeSet<Arc<str>>,
    pub(crate) fresh_records: Queue,
    pub(crate) fresh_notices: Queue,
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
