use crate::gossip::Queue;
use crate::setup::{NOTICE_REFRESH_INTERVAL, NOTICE_TTL};
use clock::Millis;
use peer::message::{LeavingNotice, MAX_LEAVING_NOTICES, MAX_RECORDS, Record};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use steering::{State, Upstream, Vm};

/// The entry VMs and upstreams that an agent knows of.
///
/// Heartbeats show which VMs reply; only the platform's list shows that a VM is gone for good. See
/// docs/MEMBERSHIP.md.
pub struct Roster {
    pub(crate) own: Record,
    pub(crate) records: BTreeMap<Arc<str>, Record>,
    pub(crate) upstreams: BTreeMap<Arc<str>, Upstream>,
    /// When a source last reported an upstream as leaving, by the upstream's name.
    pub(crate) notices: BTreeMap<Arc<str>, Millis>,
    /// Since when a VM has been missing from the platform's list.
    pub(crate) missing: BTreeMap<Arc<str>, Millis>,
    /// VMs that this agent has seen in the platform's list.
    pub(crate) listed: BTreeSet<Arc<str>>,
    /// VMs that this agent knows from the plan and has never seen in the platform's list.
    pub(crate) planned: BTreeSet<Arc<str>>,
    /// VMs that were removed because the platform no longer lists them.
    pub(crate) removed: BTreeSet<Arc<str>>,
    /// Names of VMs whose records have to be gossiped.
    pub(crate) record_queue: Queue,
    /// Names of leaving upstreams whose notices have to be gossiped.
    pub(crate) notice_queue: Queue,
}

impl Roster {
    /// A roster that holds only the VM's own record.
    pub fn new(own: Record) -> Roster {
        let mut roster = Roster {
            records: BTreeMap::from([(Arc::clone(&own.vm.name), own.clone())]),
            own,
            upstreams: BTreeMap::new(),
            notices: BTreeMap::new(),
            missing: BTreeMap::new(),
            listed: BTreeSet::new(),
            planned: BTreeSet::new(),
            removed: BTreeSet::new(),
            record_queue: Queue::default(),
            notice_queue: Queue::default(),
        };
        roster.record_queue.push(roster.name(), 1);
        roster
    }

    /// The name of the agent's own VM.
    pub fn name(&self) -> Arc<str> {
        Arc::clone(&self.own.vm.name)
    }

    /// The VM's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Edits the VM's own record; returns whether anything changed.
    pub fn update_own<F>(&mut self, edit: F) -> bool
    where
        F: FnOnce(&mut Vm),
    {
        let mut vm = self.own.vm.clone();
        edit(&mut vm);
        if vm == self.own.vm {
            return false;
        }
        self.own.vm = vm;
        self.raise_own_beat(self.own.beat + 1);
        true
    }

    fn raise_own_beat(&mut self, beat: u64) {
        self.own.beat = beat;
        self.records.insert(self.name(), self.own.clone());
        self.record_queue.push(self.name(), self.records.len());
    }

    /// Applies a record received from a peer; returns whether it changed anything.
    ///
    /// A new record is gossiped on; one that is known already is gossiped less often.
    pub fn merge(&mut self, record: Record) -> bool {
        let name = Arc::clone(&record.vm.name);
        let known =
            self.records.get(&name).is_some_and(|known| precedence(known) == precedence(&record));
        if known {
            self.record_queue.count_known(&name);
            return false;
        }
        let changed = self.apply(record);
        if changed {
            self.record_queue.push(name, self.records.len());
        }
        changed
    }

    /// Applies a record without gossiping it, for records that peers get from the same source;
    /// returns whether it changed anything.
    pub fn apply(&mut self, record: Record) -> bool {
        if record.vm.name == self.own.vm.name {
            return self.refute(&record);
        }
        if self.removed.contains(&record.vm.name) {
            return false;
        }
        match self.records.get(&record.vm.name) {
            Some(known) if precedence(known) >= precedence(&record) => return false,
            _ => {}
        }
        self.records.insert(Arc::clone(&record.vm.name), record);
        true
    }

    /// Overrides a peer's record of this VM that differs from the VM's own.
    fn refute(&mut self, record: &Record) -> bool {
        if record.beat < self.own.beat || *record == self.own {
            return false;
        }
        self.raise_own_beat(record.beat + 1);
        true
    }

    /// Marks a peer that doesn't reply as suspected; returns whether it was live before.
    pub fn suspect(&mut self, name: &str) -> bool {
        let Some(record) = self.records.get(name) else { return false };
        if record.vm.state != State::Live || *name == *self.own.vm.name {
            return false;
        }
        let mut record = record.clone();
        record.vm.state = State::Suspect;
        self.merge(record)
    }

    /// Marks an upstream that a source reported as leaving at `reported`; returns whether it wasn't
    /// marked before.
    pub fn mark_leaving(&mut self, upstream: Arc<str>, reported: Millis) -> bool {
        let known = self.notices.get(&upstream).copied();
        if known.is_some_and(|known| reported <= known) {
            return false;
        }
        if known.is_none_or(|known| reported - known >= NOTICE_REFRESH_INTERVAL) {
            self.notice_queue.push(Arc::clone(&upstream), self.records.len());
        }
        self.notices.insert(upstream, reported);
        known.is_none_or(|known| reported - known >= NOTICE_TTL)
    }

    /// Drops notices that no source has repeated in time; returns whether there were any.
    pub fn expire_notices(&mut self, now: Millis) -> bool {
        let before = self.notices.len();
        self.notices.retain(|_, reported| now - *reported < NOTICE_TTL);
        before != self.notices.len()
    }

    /// Whether there are changes to gossip.
    pub fn has_changes(&self) -> bool {
        !self.record_queue.is_empty() || !self.notice_queue.is_empty()
    }

    /// Takes the records to send to `peer`, including the one of `peer` if it is suspected, so that
    /// it can refute the suspicion.
    pub fn take_records(&mut self, peer: Option<&str>) -> Vec<Record> {
        let mut names = self.record_queue.take(MAX_RECORDS - 1);
        names.retain(|name| *name != self.own.vm.name);
        let suspected = peer.and_then(|peer| self.records.get(peer));
        if let Some(record) = suspected.filter(|record| record.vm.state == State::Suspect)
            && !names.contains(&record.vm.name)
        {
            names.push(Arc::clone(&record.vm.name));
        }
        names.iter().filter_map(|name| self.records.get(name)).cloned().collect()
    }

    /// Takes the notices to gossip next, with their ages at `now`.
    pub fn take_notices(&mut self, now: Millis) -> Vec<LeavingNotice> {
        let names = self.notice_queue.take(MAX_LEAVING_NOTICES);
        let notice = |name: Arc<str>| {
            let age = now - *self.notices.get(&name)?;
            Some(LeavingNotice { upstream: name, age })
        };
        names.into_iter().filter_map(notice).collect()
    }

    /// The records of all VMs, this one included, sorted by name.
    pub fn records(&self) -> Vec<Record> {
        self.records.values().cloned().collect()
    }

    /// The record of the VM `name`; `None` if it isn't known.
    pub fn get(&self, name: &str) -> Option<&Record> {
        self.records.get(name)
    }

    /// The records of all VMs except this one, sorted by name.
    pub fn peers(&self) -> impl Iterator<Item = &Record> {
        self.records.values().filter(|record| record.vm.name != self.own.vm.name)
    }

    /// The names of all VMs, this one included, sorted.
    pub fn names(&self) -> Vec<Arc<str>> {
        self.records.keys().cloned().collect()
    }

    /// The number of VMs, this one included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Always false, since the roster holds the VM's own record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The entry VMs for a snapshot, sorted by name.
    pub fn vms(&self) -> Vec<Vm> {
        self.records.values().map(|record| record.vm.clone()).collect()
    }

    /// The upstreams for a snapshot at `now`, sorted by name; those with a notice are leaving.
    pub fn upstreams(&self, now: Millis) -> Vec<Upstream> {
        let mark = |upstream: &Upstream| {
            let mut upstream = upstream.clone();
            let reported = self.notices.get(&upstream.name);
            if reported.is_some_and(|reported| now - *reported < NOTICE_TTL) {
                upstream.state = State::Leaving;
            }
            upstream
        };
        self.upstreams.values().map(mark).collect()
    }
}

/// Orders the records of one VM: the greater one is valid.
fn precedence(record: &Record) -> (u64, State) {
    (record.beat, record.vm.state)
}
