use crate::Agent;
use crate::state::EntryReport;
use async_trait::async_trait;
use peer::local::{LONG_POLL_TIMEOUT, Report, Source, StampedSnapshot};
use std::sync::Arc;

#[async_trait]
impl Source for Agent {
    async fn next(&self, report: Report) -> Option<StampedSnapshot> {
        let stamp = report.stamp;
        if report.vm == self.settings.node.vm {
            self.apply_report(report);
        }
        let mut snapshots = self.snapshots.subscribe();
        let is_new = |stamped: &Option<StampedSnapshot>| {
            stamped.as_ref().is_some_and(|stamped| Some(stamped.stamp) != stamp)
        };
        let wait =
            tokio::time::timeout(LONG_POLL_TIMEOUT.duration(), snapshots.wait_for(is_new)).await;
        wait.ok()?.ok()?.clone()
    }
}

impl Agent {
    /// Applies a report of this VM's `entryd`.
    fn apply_report(&self, report: Report) {
        let now = self.settings.clock.now();
        let mut state = self.state();
        let mut changed = state.roster.update_own(|vm| {
            vm.incarnation = report.incarnation;
            if report.leaving {
                vm.state = steering::State::Leaving;
            }
        });
        for upstream in &report.leaving_upstreams {
            changed |= state.roster.mark_leaving(Arc::clone(upstream), now);
        }
        state.report = Some(EntryReport { report, received_at: now });
        drop(state);
        if changed {
            self.snapshot_due.notify_one();
        }
    }
}
