//! The callers of one block, with the entry VMs of their last look-up and its lease.

use super::entry_vm::EntryVm;
use clock::Millis;
use settings::{Deployment, Site};
use std::sync::Arc;
use steering::lease::{self, Lease};
use steering::lookup;

const SERVICE: &str = "status";

pub struct Caller {
    pub block: u32,
    pub home: u16,
    entries: Vec<Arc<str>>,
    lease: Option<Lease>,
}

impl Caller {
    pub fn all(deployment: &Deployment) -> Vec<Caller> {
        let home = |site: &Site| {
            let mut names = deployment.regions.iter();
            names.position(|region| region.name == site.region).expect("a region") as u16
        };
        let caller = |block, home| Caller { block, home, entries: Vec::new(), lease: None };
        let blocks =
            |site: &'_ Site| site.blocks.iter().map(|range| range.first).collect::<Vec<_>>();
        let sites = deployment.sites.iter();
        let callers = sites.flat_map(|declared| {
            let home = home(declared);
            blocks(declared).into_iter().map(move |block| caller(block, home))
        });
        callers.collect()
    }

    /// Looks up the entry VMs at `vm`, if the lease has ended and `vm` is alive.
    pub fn renew(&mut self, vm: &EntryVm, now: Millis) {
        let ended = self.lease.is_none_or(|lease| now >= lease.granted + lease.duration);
        if !ended || vm.died.is_some() {
            return;
        }
        let region = vm.admission.serving_region(self.home, self.block);
        let Ok(found) = lookup(&vm.index, self.block, SERVICE, region, now) else {
            return;
        };
        let snapshot = vm.index.snapshot();
        let name = |number: &u16| Arc::clone(&snapshot.vms[usize::from(*number)].name);
        self.entries = found.entries.as_slice().iter().map(name).collect();
        let renewals = self.lease.map_or(0, |lease| lease::renewals_after(&lease, now));
        self.lease = Some(lease::grant(&snapshot.preset, renewals, found.drain_start, now));
    }

    /// The index of the first entry VM that is alive.
    pub fn entry(&self, vms: &[EntryVm]) -> Option<usize> {
        let find =
            |name: &Arc<str>| vms.iter().position(|vm| vm.vm.name == *name && vm.died.is_none());
        self.entries.iter().find_map(find)
    }
}
