use crate::Entry;
use peer::local::Report;
use std::sync::Arc;
use steering::Snapshot;

impl Entry {
    /// What this VM's `controld` is told when it is asked for a snapshot.
    pub fn report(&self) -> Report {
        let core = &self.core;
        let plan = self.snapshot().map(|snapshot| (snapshot.plan.epoch, snapshot.plan.sequence));
        let (epoch, sequence) = plan.unwrap_or_default();
        Report {
            vm: Arc::clone(&core.config.vm),
            incarnation: core.config.incarnation,
            epoch,
            sequence,
            leaving: core.gate.is_leaving(),
            in_flight: u32::try_from(core.gate.in_flight()).unwrap_or(u32::MAX),
            leaving_upstreams: core.pool().leaving(),
            ..Report::default()
        }
    }

    /// The snapshot in force, once there is one.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.core.view.load().as_ref().map(|view| Arc::clone(&view.snapshot))
    }
}
