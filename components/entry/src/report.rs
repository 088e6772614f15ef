use crate::core::Core;
use crate::view::View;
use crate::{Entry, measure};
use peer::local::{Demand, Report};
use std::sync::Arc;
use steering::Snapshot;

impl Entry {
    /// What this VM's `controld` is told when it is asked for a snapshot.
    pub fn report(&self) -> Report {
        let core = &self.core;
        let in_flight = u32::try_from(core.gate.in_flight()).unwrap_or(u32::MAX);
        let report = Report {
            vm: Arc::clone(&core.settings.vm),
            incarnation: core.settings.incarnation,
            leaving: core.gate.is_leaving(),
            in_flight,
            leaving_upstreams: core.services().leaving.names(),
            ..Report::default()
        };
        match core.view.load_full() {
            Some(view) => {
                measure::in_force(core, &view);
                with_plan(core, &view, report)
            }
            None => report,
        }
    }

    /// The snapshot in force, once there is one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.core.view.load().as_ref().map(|view| Arc::clone(view.index.snapshot()))
    }
}

fn with_plan(core: &Core, view: &View, report: Report) -> Report {
    let mut limits = core.limits();
    let ack = limits.ack(view, core.clock.now());
    let demand = limits.demand();
    Report {
        epoch: ack.stamp.epoch,
        sequence: ack.stamp.sequence,
        shift: ack.shift,
        settled: ack.settled,
        demand: by_region(view, &demand),
        moving: demand.moving,
        ..report
    }
}

fn by_region(view: &View, demand: &steering::planner::Demand) -> Vec<Demand> {
    let rate = |(region, rate): (&Arc<str>, &u32)| Demand {
        region: Arc::clone(region),
        rate: f64::from(*rate),
    };
    view.index.regions().iter().zip(&demand.regions).map(rate).collect()
}
