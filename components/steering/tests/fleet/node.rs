//! One entry VM: the snapshot that it holds and what it last told the planner.

use super::caller::Caller;
use super::state;
use clock::Millis;
use errors::Error;
use std::sync::Arc;
use steering::admission::{Admission, Admitted};
use steering::planner::{Ack, Demand, Report};
use steering::{Index, Regions, Snapshot, Vm};

pub struct Node {
    pub vm: Vm,
    pub cut: bool,
    pub died: Option<Millis>,
    pub index: Index,
    pub admission: Admission,
    region: u16,
    ack: Option<Ack>,
    demand: Demand,
}

impl Node {
    pub fn new(vm: Vm, region: u16, current: &Snapshot, now: Millis) -> Node {
        let index = Index::new(Arc::new(current.clone()));
        let admission = Admission::new(&index, Arc::clone(&vm.name), Arc::clone(&vm.domain), now);
        Node {
            vm,
            cut: false,
            died: None,
            index,
            admission,
            region,
            ack: None,
            demand: Demand::default(),
        }
    }

    /// Tells the planner what the node holds, if it is reached.
    pub fn report(&mut self, demand: bool) {
        if self.cut || self.died.is_some() {
            return;
        }
        self.ack = Some(self.admission.ack());
        if demand {
            self.demand = self.admission.demand();
        }
    }

    /// What the planner knows of the node.
    pub fn reported(&self, now: Millis, detect: Millis) -> Report {
        Report {
            vm: Arc::clone(&self.vm.name),
            region: self.region,
            state: state(self.died, self.cut, now, detect),
            ack: self.ack,
            demand: self.demand.clone(),
        }
    }

    /// The node as its peers see it.
    pub fn seen(&self, now: Millis, detect: Millis) -> Vm {
        Vm { state: state(self.died, self.cut, now, detect), ..self.vm.clone() }
    }

    /// Takes the snapshot in force, if it is reached, and lets time pass.
    pub fn take(&mut self, current: &Snapshot, down: Regions, now: Millis) {
        if !self.cut && **self.index.snapshot() != *current {
            self.index = Index::new(Arc::new(current.clone()));
        }
        self.admission.tick(&self.index, down, now);
    }

    pub fn admit(&mut self, caller: &Caller, draw: u32, now: Millis) -> Result<Admitted, Error> {
        self.admission.admit(caller.home, caller.block, draw, now)
    }
}
