use crate::Agent;
use crate::state::Heard;
use async_trait::async_trait;
use peer::local::{HOLD, Issue, Report, Source};
use std::sync::Arc;

#[async_trait]
impl Source for Agent {
    async fn next(&self, report: Report) -> Option<Issue> {
        let stamp = report.stamp;
        if report.vm == self.settings.node.vm {
            self.hear(report);
        }
        let mut snapshots = self.snapshots.subscribe();
        let is_new =
            |issue: &Option<Issue>| issue.as_ref().is_some_and(|issue| Some(issue.stamp) != stamp);
        let wait = tokio::time::timeout(HOLD.duration(), snapshots.wait_for(is_new)).await;
        wait.ok()?.ok()?.clone()
    }
}

impl Agent {
    /// Takes in the report of this VM's own `entryd`.
    fn hear(&self, report: Report) {
        let now = self.settings.clock.now();
        let mut state = self.state();
        let mut changed = state.roster.state_own(|vm| {
            vm.incarnation = report.incarnation;
            if report.leaving {
                vm.state = steering::State::Leaving;
            }
        });
        for upstream in &report.leaving_upstreams {
            changed |= state.roster.notice(Arc::clone(upstream), now);
        }
        state.report = Some(Heard { report, at: now });
        drop(state);
        if changed {
            self.changed.notify_one();
        }
    }
}
