use crate::fleet::{Fleet, Spreading, run};
use crate::{Experiment, Row, Scene, Spread, Table, Target};
use control::spread::{Fanout, FullPush, Polling, Tree};
use std::sync::Arc;

/// The size to design for.
const VMS: usize = 700;

/// Fleet sizes and losses; the platform goes down right after the commit.
const FLEETS: [(usize, f64); 5] = [(9, 0.01), (50, 0.01), (200, 0.01), (200, 0.1), (VMS, 0.01)];

const TIME_MOST: f64 = 4.0;
const IDLE_MOST: f64 = 5000.0;

/// The spread of a configuration through fleets of many sizes.
pub struct Spreads;

impl Experiment for Spreads {
    fn name(&self) -> &'static str {
        "spread"
    }

    fn about(&self) -> &'static str {
        "time and bytes to put a configuration in force everywhere"
    }

    fn run(&self, seeds: &[u64], scene: Scene) -> Table {
        let mut rows = Vec::new();
        for (vms, loss) in FLEETS {
            let fleet = Fleet { scene, vms, loss };
            rows.extend(WAYS.iter().map(|way| row(way, fleet, seeds)));
        }
        let ours = |row: &&Row| row.policy.starts_with(OURS) && row.policy.contains("700 1%");
        let found = rows.iter().find(ours).map(|row| row.cells.clone()).unwrap_or_default();
        let targets = vec![
            Target::at_most("seconds to all of 700 VMs at 1% loss", TIME_MOST, found[1]),
            Target::at_most("bytes a second, idle, at 700 VMs", IDLE_MOST, found[3]),
        ];
        let title = format!(
            "spread, {}: way, VMs, loss; platform down after the commit; seconds and bytes sent",
            scene.name()
        );
        let columns = vec!["half", "all", "missed", "idle B/s", "change B", "busiest B"];
        Table { title, seeds: seeds.to_vec(), columns, rows, targets }
    }
}

/// A way to pass news on, under its name.
struct Way {
    name: &'static str,
    make: fn() -> Arc<dyn control::Spread>,
}

const OURS: &str = "fanout-4";

const WAYS: [Way; 5] = [
    Way { name: "polling", make: || Arc::new(Polling) },
    Way { name: "full-push", make: || Arc::new(FullPush) },
    Way { name: "tree-4", make: || Arc::new(Tree::default()) },
    Way { name: "fanout-2", make: || Arc::new(Fanout { width: 2 }) },
    Way { name: OURS, make: || Arc::new(Fanout::default()) },
];

fn row(way: &Way, fleet: Fleet, seeds: &[u64]) -> Row {
    let runs: Vec<Spreading> = seeds.iter().map(|seed| run(fleet, (way.make)(), *seed)).collect();
    let of = |figure: fn(&Spreading) -> f64| Spread::of(runs.iter().map(figure).collect());
    let cells = vec![
        of(|run| run.half),
        of(|run| run.all),
        of(|run| run.missed as f64),
        of(|run| run.idle),
        of(|run| run.change),
        of(|run| run.busiest),
    ];
    let loss = (fleet.loss * 100.0).round();
    Row { policy: format!("{} {} {loss}%", way.name, fleet.vms), cells }
}
