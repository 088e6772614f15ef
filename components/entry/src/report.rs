use crate::core::Core;
use crate::view::View;
use crate::{Entry, limit_metrics};
use peer::local::{Demand, Report};
use std::sync::Arc;
use steering::Snapshot;

impl Entry {
    /// The report that `entryd` sends to its `controld` with each request for a snapshot.
    pub fn report(&self) -> Report {
        let core = &self.core;
        let in_flight = u32::try_from(core.tracker.in_flight()).unwrap_or(u32::MAX);
        let report = Report {
            vm: Arc::clone(&core.settings.vm),
            incarnation: core.settings.incarnation,
            leaving: core.tracker.is_shutting_down(),
            in_flight,
            leaving_upstreams: core.services().leaving.names(),
            ..Report::default()
        };
        match core.view.load_full() {
            Some(view) => {
                limit_metrics::record(core, &view);
                with_plan(core, &view, report)
            }
            None => report,
        }
    }

    /// The snapshot in force; `None` until the first one is installed.
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
