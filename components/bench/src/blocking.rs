use crate::{
    Demand, Experiment, Long, Policy, Results, Row, Scenario, Spread, Table, Target, serve,
};
use clock::Millis;

const LOAD: f64 = 0.7;
const MEASURED_SECONDS: u64 = 60;
/// 5% of the requests take fifty times as long as the short ones.
const LONG: Long = Long { share: 0.05, factor: 50 };
const REPORT_DELAY: Millis = Millis(1000);
const MAX_P99_RATIO: f64 = 1.2;
/// Throughput of long requests, relative to a run with long requests alone.
const MIN_LONG_THROUGHPUT: f64 = 0.9;

/// Measures head-of-line blocking: how much long requests raise the latency of short ones.
pub struct Blocking;

/// Results of one policy with one seed.
struct Runs {
    /// The long requests are replaced by short ones.
    without_long: Results,
    with_long: Results,
    /// The short requests are left out.
    only_long: Results,
}

impl Experiment for Blocking {
    fn name(&self) -> &'static str {
        "blocking"
    }

    fn about(&self) -> &'static str {
        "tail of short requests while 5% of the requests take fifty times longer"
    }

    fn run(&self, seeds: &[u64], scenario: Scenario) -> Table {
        let rows: Vec<Row> =
            Policy::ALL.iter().map(|&policy| row(policy, seeds, scenario)).collect();
        let in_force = &rows[rows.len() - 1].cells;
        let targets = vec![
            Target::at_most("p99 with long / p99 without", MAX_P99_RATIO, in_force[2]),
            Target::at_least(
                "long throughput / alone in their part",
                MIN_LONG_THROUGHPUT,
                in_force[3],
            ),
        ];
        Table {
            title: format!("blocking, {}: 70% load with the long, 60 s, in ms", scenario.name()),
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

fn row(policy: Policy, seeds: &[u64], scenario: Scenario) -> Row {
    let runs: Vec<Runs> = seeds.iter().map(|&seed| measure(policy, seed, scenario)).collect();
    let spread = |value: fn(&Runs) -> f64| Spread::of(runs.iter().map(value).collect());
    let cells = vec![
        spread(|runs| p99(&runs.without_long)),
        spread(|runs| p99(&runs.with_long)),
        spread(|runs| p99(&runs.with_long) / p99(&runs.without_long)),
        spread(|runs| runs.with_long.long_completed as f64 / runs.only_long.long_completed as f64),
        spread(|runs| runs.with_long.hedges as f64 / runs.with_long.first_attempts as f64),
    ];
    Row { policy: policy.name().to_owned(), cells }
}

/// Runs `policy` with and without long requests. The run with only long requests always uses the
/// ranked policy, which limits them to their share of the slots.
fn measure(policy: Policy, seed: u64, scenario: Scenario) -> Runs {
    let with_long = Demand {
        scenario,
        rate: Demand::rate(scenario, LOAD, Demand::mean_us(Some(LONG))),
        seconds: MEASURED_SECONDS,
        long: Some(LONG),
        only_long: false,
        slowdown: None,
        report_delay: REPORT_DELAY,
    };
    let only_long = Demand { only_long: true, ..with_long };
    let without_long = Demand { long: Some(Long { factor: 1, ..LONG }), ..with_long };
    Runs {
        without_long: serve(&without_long, policy, seed),
        with_long: serve(&with_long, policy, seed),
        only_long: serve(&only_long, Policy::Ranked, seed),
    }
}

/// The 99th percentile of short requests, in milliseconds.
fn p99(result: &Results) -> f64 {
    result.short.value_at_quantile(0.99) as f64 / 1000.0
}
