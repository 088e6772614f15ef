use crate::fleet::{Fleet, Measurement, run};
use crate::{Experiment, Row, Scenario, Spread, Table, Target};
use control::dissemination::{Fanout, FullPush, Polling, Tree};
use std::sync::Arc;

/// Numbers of VMs and shares of lost messages; the platform goes down right after the commit.
const SMALL: &[(usize, f64)] = &[(9, 0.01), (50, 0.01), (200, 0.1), (200, 0.01)];

/// The greatest fleet that the system is designed for.
const LARGE: &[(usize, f64)] = &[(700, 0.01)];

const MAX_SECONDS: f64 = 4.0;
const MAX_IDLE_BYTES_PER_SECOND: f64 = 5000.0;

/// Measures how fast a configuration reaches every VM in fleets of several sizes.
pub struct Propagation {
    name: &'static str,
    fleets: &'static [(usize, f64)],
}

impl Propagation {
    /// Fleets of up to 200 VMs.
    pub const SMALL: Propagation = Propagation { name: "spread", fleets: SMALL };
    /// A fleet of 700 VMs, which takes minutes to run.
    pub const LARGE: Propagation = Propagation { name: "spread-700", fleets: LARGE };
}

impl Experiment for Propagation {
    fn name(&self) -> &'static str {
        self.name
    }

    fn about(&self) -> &'static str {
        "time and bytes to put a configuration in force everywhere"
    }

    fn run(&self, seeds: &[u64], scenario: Scenario) -> Table {
        let mut rows = Vec::new();
        for &(vms, loss) in self.fleets {
            let fleet = Fleet { scenario, vms, loss };
            rows.extend(STRATEGIES.iter().map(|strategy| row(strategy, fleet, seeds)));
        }
        // The last row is the strategy in force, in the last fleet.
        let in_force = &rows[rows.len() - 1].cells;
        let targets = vec![
            Target::at_most("seconds to all VMs of the last fleet", MAX_SECONDS, in_force[1]),
            Target::at_most(
                "bytes a second that a VM sends when idle",
                MAX_IDLE_BYTES_PER_SECOND,
                in_force[3],
            ),
        ];
        let title = format!(
            "spread, {}: way, VMs, loss; platform down after the commit; seconds and bytes sent",
            scenario.name()
        );
        let columns = vec!["half", "all", "missed", "idle B/s", "change B", "busiest B"];
        Table { title, seeds: seeds.to_vec(), columns, rows, targets }
    }
}

/// A dissemination strategy and its name in the table.
struct Strategy {
    name: &'static str,
    make: fn() -> Arc<dyn control::Dissemination>,
}

/// The name of the strategy in force, which must be the last of [`STRATEGIES`].
const IN_FORCE: &str = "fanout-4";

const STRATEGIES: [Strategy; 5] = [
    Strategy { name: "polling", make: || Arc::new(Polling) },
    Strategy { name: "full-push", make: || Arc::new(FullPush) },
    Strategy { name: "tree-4", make: || Arc::new(Tree::default()) },
    Strategy { name: "fanout-2", make: || Arc::new(Fanout { width: 2 }) },
    Strategy { name: IN_FORCE, make: || Arc::new(Fanout::default()) },
];

fn row(strategy: &Strategy, fleet: Fleet, seeds: &[u64]) -> Row {
    let runs: Vec<Measurement> =
        seeds.iter().map(|seed| run(fleet, (strategy.make)(), *seed)).collect();
    let of = |value: fn(&Measurement) -> f64| Spread::of(runs.iter().map(value).collect());
    let cells = vec![
        of(|run| run.half_seconds),
        of(|run| run.all_seconds),
        of(|run| run.missed as f64),
        of(|run| run.idle_bytes_per_second),
        of(|run| run.change_bytes),
        of(|run| run.max_change_bytes),
    ];
    let loss_percent = (fleet.loss * 100.0).round();
    Row { policy: format!("{} {} {loss_percent}%", strategy.name, fleet.vms), cells }
}
