use crate::Agent;
use crate::state::EntryReport;
use async_trait::async_trait;
use peer::local::{HOLD, Issue, Report, Source};
use std::sync::Arc;

#[async_trait]
impl Source for Agent {
    async fn next(&self, report: Report) -> Option<Issue> {
        let stamp = report.stamp;
        if report.vm == self.settings.node.vm {
            self.apply_report(report);
        }
        let mut snapshots = self.snapshots.subscribe();
        let is_new =
            |issue: &Option<Issue>| issue.as_ref().is_some_and(|issue| Some(issue.stamp) != stamp);
        let wait = tokio::time::timeout(HOLD.duration(), snapshots.wait_for(is_new)).await;
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
