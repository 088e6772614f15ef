use crate::Agent;
use crate::heartbeat::{Peer, peer_of};
use crate::setup::HEARTBEAT_TIMEOUT;
use clock::Millis;
use peer::message::{Ask, Load};
use rand::RngExt;
use std::sync::Arc;

/// The least time between two reports of a node to the planner.
const LOAD_MIN: Millis = Millis(1000);

/// Reports that the planner takes from the whole fleet, a second.
const LOADS_PER_SECOND: u64 = 12;

impl Agent {
    /// Tells the planner again and again what this VM's `entryd` enforces and is asked for.
    pub(crate) async fn report_load(&self) {
        loop {
            let period = load_period(self.state().roster.len());
            let jitter = self.state().random.random_range(0..=period.0 / 4);
            self.settings.clock.sleep(period + Millis(jitter)).await;
            if let Some((planner, load)) = self.due_load() {
                // A report that gets lost is made up for by the next one.
                let _ = self.ask(&planner, Ask::Load(load), HEARTBEAT_TIMEOUT).await;
            }
        }
    }

    /// The planner to report to, and the report; one's own is taken in at once.
    fn due_load(&self) -> Option<(Peer, Load)> {
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

/// The period of reports in a fleet of `nodes`, so that the planner's load is fixed.
fn load_period(nodes: usize) -> Millis {
    LOAD_MIN.max(Millis(nodes as u64 * 1000 / LOADS_PER_SECOND))
}
