use crate::Agent;
use crate::heartbeat::{Peer, peer_of};
use crate::setup::HEARTBEAT_TIMEOUT;
use clock::Millis;
use peer::message::{Load, Request};
use rand::RngExt;
use std::sync::Arc;

/// The least time between two load reports of one VM to the planner.
const MIN_REPORT_INTERVAL: Millis = Millis(1000);

/// Load reports per second that the planner receives from the whole fleet.
const FLEET_REPORTS_PER_SECOND: u64 = 12;

impl Agent {
    /// Reports periodically to the planner which plan this VM's `entryd` enforces and its demand.
    pub(crate) async fn report_load(&self) {
        loop {
            let period = report_interval(self.state().roster.len());
            let jitter = self.state().random.random_range(0..=period.0 / 4);
            self.settings.clock.sleep(period + Millis(jitter)).await;
            if let Some((planner, load)) = self.due_report() {
                // A lost report needs no retry: the next one replaces it.
                let _ = self.request(&planner, Request::Load(load), HEARTBEAT_TIMEOUT).await;
            }
        }
    }

    /// The planner and the report to send to it; when this VM is the planner, its report is stored
    /// directly and nothing is sent.
    fn due_report(&self) -> Option<(Peer, Load)> {
        let mut state = self.state();
        let report = &state.report.as_ref()?.report;
        let load = Load {
            epoch: report.epoch,
            sequence: report.sequence,
            shift: report.shift,
            settled: report.settled,
            moving: report.moving,
            demand: report.demand.clone(),
        };
        let holder = Arc::clone(&state.lease.as_ref()?.row.value.holder);
        if holder == state.roster.name() {
            state.loads.insert(holder, load);
            return None;
        }
        let planner = peer_of(&state.roster.get(&holder)?.vm);
        Some((planner, load))
    }
}

/// The time between two reports of each VM, chosen so that the planner's load stays constant in a
/// large fleet.
fn report_interval(vms: usize) -> Millis {
    MIN_REPORT_INTERVAL.max(Millis(vms as u64 * 1000 / FLEET_REPORTS_PER_SECOND))
}
