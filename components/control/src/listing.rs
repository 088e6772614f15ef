use crate::Roster;
use crate::setup::{GONE_AFTER, UNSEEN_GONE_AFTER};
use clock::Millis;
use peer::message::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use steering::{State, Upstream, Vm};
use store::{Listing, Machine, Role};

impl Roster {
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
}

fn answers(vm: &Vm) -> bool {
    vm.state == State::Live
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
