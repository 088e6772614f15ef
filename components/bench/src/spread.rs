use crate::fleet::{Fleet, Spreading, run};
use crate::{Experiment, Row, Scene, Spread, Table, Target};
use control::dissemination::{Fanout, FullPush, Polling, Tree};
use std::sync::Arc;

/// Fleet sizes and losses; the platform goes down right after the commit.
const SMALL: &[(usize, f64)] = &[(9, 0.01), (50, 0.01), (200, 0.1), (200, 0.01)];

/// The size to design for.
const LARGE: &[(usize, f64)] = &[(700, 0.01)];

const TIME_MOST: f64 = 4.0;
const IDLE_MOST: f64 = 5000.0;

/// The spread of a configuration through fleets of several sizes.
pub struct Spreads {
    name: &'static str,
    fleets: &'static [(usize, f64)],
}

impl Spreads {
    /// Up to 200 VMs.
    pub const SMALL: Spreads = Spreads { name: "spread", fleets: SMALL };
    /// 700 VMs, which takes minutes.
    pub const LARGE: Spreads = Spreads { name: "spread-700", fleets: LARGE };
}

impl Experiment for Spreads {
    fn name(&self) -> &'static str {
        self.name
    }

    fn about(&self) -> &'static str {
        "time and bytes to put a configuration in force everywhere"
    }

    fn run(&self, seeds: &[u64], scene: Scene) -> Table {
        let mut rows = Vec::new();
        for &(vms, loss) in self.fleets {
            let fleet = Fleet { scene, vms, loss };
            rows.extend(WAYS.iter().map(|way| row(way, fleet, seeds)));
        }
        // The last row is ours, in the last fleet.
        let found = &rows[rows.len() - 1].cells;
        let targets = vec![
            Target::at_most("seconds to all VMs of the last fleet", TIME_MOST, found[1]),
            Target::at_most("bytes a second that a VM sends when idle", IDLE_MOST, found[3]),
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
    make: fn() -> Arc<dyn control::Dissemination>,
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
