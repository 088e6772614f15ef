//! The callers of one block: the entry VMs they were told to use, and until when.

use super::node::Node;
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
        let site = |site: &'_ Site| site.blocks.iter().map(|range| range.first).collect::<Vec<_>>();
        let sites = deployment.sites.iter();
        let callers = sites.flat_map(|declared| {
            let home = home(declared);
            site(declared).into_iter().map(move |block| caller(block, home))
        });
        callers.collect()
    }

    /// Asks `node` which entries to use, if the lease has ended and the node answers.
    pub fn renew(&mut self, node: &Node, now: Millis) {
        let ended = self.lease.is_none_or(|lease| now >= lease.granted + lease.duration);
        if !ended || node.died.is_some() {
            return;
        }
        let region = node.admission.serving_region(self.home, self.block);
        let Ok(found) = lookup(&node.index, self.block, SERVICE, region, now) else {
            return;
        };
        let snapshot = node.index.snapshot();
        let name = |vm: &u16| Arc::clone(&snapshot.vms[usize::from(*vm)].name);
        self.entries = found.entries.as_slice().iter().map(name).collect();
        let renewals = self.lease.map_or(0, |lease| lease::renewals_after(&lease, now));
        self.lease = Some(lease::grant(&snapshot.preset, renewals, found.drain_start, now));
    }

    /// The first entry that answers.
    pub fn entry(&self, nodes: &[Node]) -> Option<usize> {
        let find = |name: &Arc<str>| {
            nodes.iter().position(|node| node.vm.name == *name && node.died.is_none())
        };
        self.entries.iter().find_map(find)
    }
}
