use crate::Roster;
use crate::setup::{REMOVAL_DELAY, UNLISTED_REMOVAL_DELAY};
use clock::Millis;
use peer::message::Record;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use steering::{State, Upstream, Vm};
use store::{ListedVm, Listing, Role};

impl Roster {
    /// Applies the platform's list of VMs as read at `now`; returns whether anything changed.
    pub fn apply_listing(&mut self, listing: &Listing, now: Millis) -> bool {
        let before = (self.records.len(), self.upstreams.len());
        let mut changed = false;
        let mut upstreams = BTreeMap::new();
        let mut present = BTreeSet::new();
        for machine in &listing.machines {
            present.insert(Arc::clone(&machine.name));
            match &machine.role {
                Role::Entry { .. } => changed |= self.apply_entry_vm(machine),
                Role::Upstream { service, address } => {
                    let upstream = upstream_of(machine, service, *address);
                    upstreams.insert(Arc::clone(&machine.name), upstream);
                }
            }
        }
        changed |= self.replace_upstreams(upstreams, now);
        changed |= self.remove_missing(&present, now);
        changed || before != (self.records.len(), self.upstreams.len())
    }

    fn apply_entry_vm(&mut self, machine: &ListedVm) -> bool {
        self.listed.insert(Arc::clone(&machine.name));
        self.planned.remove(&machine.name);
        self.removed.remove(&machine.name);
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
            return self.update_own(|vm| {
                if leaving {
                    vm.state = State::Leaving;
                }
            });
        }
        self.apply(record)
    }

    fn replace_upstreams(&mut self, upstreams: BTreeMap<Arc<str>, Upstream>, now: Millis) -> bool {
        for upstream in upstreams.values().filter(|upstream| upstream.state == State::Leaving) {
            self.mark_leaving(Arc::clone(&upstream.name), now);
        }
        let changed = upstreams != self.upstreams;
        self.upstreams = upstreams;
        changed
    }

    /// Takes over a peer's upstreams, unless the platform's list or another peer has supplied some
    /// already.
    pub fn import_upstreams(&mut self, upstreams: Vec<Upstream>) {
        if self.has_listing() || !self.upstreams.is_empty() {
            return;
        }
        let named = upstreams.into_iter().map(|upstream| (Arc::clone(&upstream.name), upstream));
        self.upstreams = named.collect();
    }

    /// Whether a list of the platform has been applied.
    pub fn has_listing(&self) -> bool {
        !self.listed.is_empty()
    }

    /// Whether the VM was removed because the platform no longer lists it.
    pub fn is_removed(&self, name: &str) -> bool {
        self.removed.contains(name)
    }

    /// Tracks a VM that is known only from the plan, so that it can be removed when the platform's
    /// list doesn't show it.
    pub fn track_planned(&mut self, name: &Arc<str>) {
        if !self.removed.contains(name) && !self.listed.contains(name) {
            self.planned.insert(Arc::clone(name));
        }
    }

    /// Removes VMs that aren't live and have been missing from the list for the removal delay.
    fn remove_missing(&mut self, present: &BTreeSet<Arc<str>>, now: Millis) -> bool {
        let mut changed = false;
        self.missing.retain(|name, _| !present.contains(name));
        let tracked: Vec<Arc<str>> = self.listed.union(&self.planned).cloned().collect();
        for name in tracked {
            if present.contains(&name) || name == self.own.vm.name {
                continue;
            }
            let since = *self.missing.entry(Arc::clone(&name)).or_insert(now);
            let delay =
                if self.listed.contains(&name) { REMOVAL_DELAY } else { UNLISTED_REMOVAL_DELAY };
            let is_live = self.records.get(&name).is_some_and(|record| is_live(&record.vm));
            if now - since >= delay && !is_live {
                changed |= self.records.remove(&name).is_some();
                self.listed.remove(&name);
                self.planned.remove(&name);
                self.missing.remove(&name);
                self.removed.insert(name);
            }
        }
        changed
    }
}

fn is_live(vm: &Vm) -> bool {
    vm.state == State::Live
}

fn upstream_of(machine: &ListedVm, service: &Arc<str>, address: SocketAddr) -> Upstream {
    Upstream {
        name: Arc::clone(&machine.name),
        service: Arc::clone(service),
        domain: Arc::clone(&machine.domain),
        address,
        state: if machine.leaving { State::Leaving } else { State::Live },
    }
}
