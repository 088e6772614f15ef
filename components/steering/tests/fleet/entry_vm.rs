//! One entry VM: the snapshot that it holds and its last report to the planner.

use super::caller::Caller;
use super::observed_state;
use clock::Millis;
use errors::Error;
use std::sync::Arc;
use steering::admission::{Admission, Admitted};
use steering::planner::{Ack, Demand, Report};
use steering::{Index, Regions, Snapshot, Vm};

pub struct EntryVm {
    pub vm: Vm,
    /// Whether it is partitioned from the planner and its peers; callers still reach it.
    pub partitioned: bool,
    /// When it was killed.
    pub died: Option<Millis>,
    pub index: Index,
    pub admission: Admission,
    region: u16,
    ack: Option<Ack>,
    demand: Demand,
}

impl EntryVm {
    pub fn new(vm: Vm, region: u16, current: &Snapshot, now: Millis) -> EntryVm {
        let index = Index::new(Arc::new(current.clone()));
        let admission = Admission::new(&index, Arc::clone(&vm.name), Arc::clone(&vm.domain), now);
        EntryVm {
            vm,
            partitioned: false,
            died: None,
            index,
            admission,
            region,
            ack: None,
            demand: Demand::default(),
        }
    }

    /// Sends the planner the VM's acknowledgement, and its demand if `demand` is set, unless the VM
    /// is partitioned or dead.
    pub fn send_report(&mut self, demand: bool) {
        if self.partitioned || self.died.is_some() {
            return;
        }
        self.ack = Some(self.admission.ack());
        if demand {
            self.demand = self.admission.demand();
        }
    }

    /// What the planner knows of the VM.
    pub fn report(&self, now: Millis, detect: Millis) -> Report {
        Report {
            vm: Arc::clone(&self.vm.name),
            region: self.region,
            state: observed_state(self.died, self.partitioned, now, detect),
            ack: self.ack,
            demand: self.demand.clone(),
        }
    }

    /// The VM as its peers observe it.
    pub fn observed(&self, now: Millis, detect: Millis) -> Vm {
        Vm { state: observed_state(self.died, self.partitioned, now, detect), ..self.vm.clone() }
    }

    /// Applies the snapshot in force, unless the VM is partitioned, and advances its limits.
    pub fn update(&mut self, current: &Snapshot, down: Regions, now: Millis) {
        if !self.partitioned && **self.index.snapshot() != *current {
            self.index = Index::new(Arc::new(current.clone()));
        }
        self.admission.tick(&self.index, down, now);
    }

    pub fn admit(
        &mut self,
        caller: &Caller,
        request_hash: u32,
        now: Millis,
    ) -> Result<Admitted, Error> {
        self.admission.admit(caller.home, caller.block, request_hash, now)
    }
}
