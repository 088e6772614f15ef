//! Decision log lines and metrics of the control plane.

use crate::Agent;
use crate::state::State;
use clock::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;
use steering::Plan;
use telemetry::{Action, Decision, names};

/// Time between two updates of the metrics.
const METRICS_INTERVAL: Millis = Millis(1000);

/// All states of VMs, so that the gauge of a state that no VM is in is set to 0.
const STATES: [steering::State; 3] =
    [steering::State::Live, steering::State::Suspect, steering::State::Leaving];

/// Logs the decision for a plan that this VM has committed as the planner.
pub(crate) fn log_plan(old: &Plan, new: &Plan) {
    telemetry::log_decision(&Decision {
        action: Action::Place,
        request: "",
        block: None,
        service: "",
        choice: &describe(new),
        reason: reason(old, new),
        epoch: new.epoch,
        sequence: new.sequence,
        version: new.version,
    });
}

fn describe(plan: &Plan) -> String {
    let members = plan.members.len();
    let settled = u64::from(plan.settled) * 100 / u64::from(steering::SHARE_SCALE);
    format!("shift {} settled {settled} %, {members} entry VMs", plan.shift)
}

fn reason(old: &Plan, new: &Plan) -> &'static str {
    if new.version != old.version {
        "another configuration"
    } else if new.shift != old.shift {
        "another split of traffic"
    } else if new.settled != old.settled {
        "the shift went on"
    } else {
        "other entry VMs or shares"
    }
}

impl Agent {
    /// Updates the metrics periodically.
    pub(crate) async fn run_metrics(&self) {
        loop {
            self.record_metrics();
            self.settings.clock.sleep(METRICS_INTERVAL).await;
        }
    }

    fn record_metrics(&self) {
        let now = self.settings.clock.now();
        let state = self.state();
        let stamp = state.stamp();
        metrics::gauge!(names::VERSION).set(stamp.version as f64);
        metrics::gauge!(names::PLAN_EPOCH).set(stamp.epoch as f64);
        metrics::gauge!(names::PLAN_SEQUENCE).set(stamp.sequence as f64);
        metrics::gauge!(names::PLANNER).set(f64::from(u8::from(self.is_planner(&state))));
        metrics::gauge!(names::PLATFORM_UP).set(f64::from(u8::from(state.platform_up)));
        if let Some(last) = &state.report {
            let lag = (now - last.received_at).as_secs_f64();
            metrics::gauge!(names::LAG, names::SOURCE => "entryd").set(lag);
        }
        record_vms(&state);
        record_upstreams(&state, now);
    }

    fn is_planner(&self, state: &State) -> bool {
        state.lease.as_ref().is_some_and(|lease| self.is_own_lease(&lease.row.value))
    }
}

fn record_vms(state: &State) {
    let vms = state.roster.vms();
    for each in STATES {
        let count = vms.iter().filter(|vm| vm.state == each).count();
        metrics::gauge!(names::VMS, names::STATE => name(each)).set(count as f64);
    }
}

fn record_upstreams(state: &State, now: Millis) {
    let mut services: BTreeMap<Arc<str>, [usize; 3]> = BTreeMap::new();
    for upstream in state.roster.upstreams(now) {
        let counts = services.entry(upstream.service).or_default();
        let at = STATES.iter().position(|each| *each == upstream.state);
        counts[at.unwrap_or_default()] += 1;
    }
    for (service, counts) in services {
        for (each, count) in STATES.iter().zip(counts) {
            let service = service.to_string();
            metrics::gauge!(names::UPSTREAMS, names::SERVICE => service, names::STATE => name(*each))
                .set(count as f64);
        }
    }
}

const fn name(state: steering::State) -> &'static str {
    match state {
        steering::State::Live => "live",
        steering::State::Suspect => "suspect",
        steering::State::Leaving => "leaving",
    }
}
