use crate::{Demand, Experiment, Long, Policy, Row, Scene, Served, Spread, Table, Target, serve};
use clock::Millis;

const LOAD: f64 = 0.7;
const SECONDS: u64 = 60;
const LONG: Long = Long { part: 0.05, factor: 50 };
const REPORT_LAG: Millis = Millis(1000);
const TAIL_MOST: f64 = 1.2;
const LONG_LEAST: f64 = 0.9;

/// The tail of short requests behind long ones.
pub struct Blocking;

struct Runs {
    without: Served,
    with: Served,
    alone: Served,
}

impl Experiment for Blocking {
    fn name(&self) -> &'static str {
        "blocking"
    }

    fn about(&self) -> &'static str {
        "tail of short requests while 5% of the requests take fifty times longer"
    }

    fn run(&self, seeds: &[u64], scene: Scene) -> Table {
        let rows: Vec<Row> = Policy::ALL.iter().map(|&policy| row(policy, seeds, scene)).collect();
        let ours = &rows[rows.len() - 1].cells;
        let targets = vec![
            Target::at_most("p99 with long / p99 without", TAIL_MOST, ours[2]),
            Target::at_least("long throughput / alone in their part", LONG_LEAST, ours[3]),
        ];
        Table {
            title: format!("blocking, {}: 70% load with the long, 60 s, in ms", scene.name()),
            seeds: seeds.to_vec(),
            columns: vec![
                "p99 without long",
                "p99 with long",
                "p99 ratio",
                "long / alone",
                "extra",
            ],
            rows,
            targets,
        }
    }
}

fn row(policy: Policy, seeds: &[u64], scene: Scene) -> Row {
    let all: Vec<Runs> = seeds.iter().map(|&seed| measure(policy, seed, scene)).collect();
    let spread = |figure: fn(&Runs) -> f64| Spread::of(all.iter().map(figure).collect());
    let cells = vec![
        spread(|runs| p99(&runs.without)),
        spread(|runs| p99(&runs.with)),
        spread(|runs| p99(&runs.with) / p99(&runs.without)),
        spread(|runs| runs.with.long_answered as f64 / runs.alone.long_answered as f64),
        spread(|runs| runs.with.extra as f64 / runs.with.first as f64),
    ];
    Row { policy: policy.name().to_owned(), cells }
}

/// The long requests alone are served by our policy, which keeps them in their part of the slots.
fn measure(policy: Policy, seed: u64, scene: Scene) -> Runs {
    let with = Demand {
        scene,
        rate: Demand::rate(scene, LOAD, Demand::mean_us(Some(LONG))),
        seconds: SECONDS,
        long: Some(LONG),
        only_long: false,
        slowdown: None,
        report_lag: REPORT_LAG,
    };
    let alone = Demand { only_long: true, ..with };
    let without = Demand { long: Some(Long { factor: 1, ..LONG }), ..with };
    Runs {
        without: serve(&without, policy, seed),
        with: serve(&with, policy, seed),
        alone: serve(&alone, Policy::Ranked, seed),
    }
}

fn p99(result: &Served) -> f64 {
    result.short.value_at_quantile(0.99) as f64 / 1000.0
}
