use crate::{
    Demand, Experiment, Policy, Results, Row, Scenario, Slowdown, Spread, Table, Target, serve,
};
use clock::Millis;

const LOAD: f64 = 0.7;
const MEASURED_SECONDS: u64 = 60;
const SLOWDOWN: Slowdown = Slowdown { upstreams: 2, factor: 10 };
const REPORT_DELAY: Millis = Millis(5000);
const MAX_P99_RATIO: f64 = 1.5;
const MAX_HEDGE_RATIO: f64 = 0.05;

/// Measures the latency of short requests while some upstreams are slow and load reports are late.
pub struct Stragglers;

/// Results of one policy with one seed, without and with the slowdown.
struct Pair {
    normal: Results,
    slowed: Results,
}

impl Experiment for Stragglers {
    fn name(&self) -> &'static str {
        "stragglers"
    }

    fn about(&self) -> &'static str {
        "tail of short requests with 2 of 12 upstreams slowed tenfold, reports 5 s late"
    }

    fn run(&self, seeds: &[u64], scenario: Scenario) -> Table {
        let rows: Vec<Row> =
            Policy::ALL.iter().map(|&policy| row(policy, seeds, scenario)).collect();
        let in_force = &rows[rows.len() - 1].cells;
        let targets = vec![
            Target::at_most("p99 slowed / p99 calm", MAX_P99_RATIO, in_force[4]),
            Target::at_most("extra requests", MAX_HEDGE_RATIO, in_force[5]),
        ];
        Table {
            title: format!("stragglers, {}: 70% load, 60 s, latency in ms", scenario.name()),
            seeds: seeds.to_vec(),
            columns: vec!["p50 calm", "p99 calm", "p50 slowed", "p99 slowed", "p99 ratio", "extra"],
            rows,
            targets,
        }
    }
}

fn row(policy: Policy, seeds: &[u64], scenario: Scenario) -> Row {
    let pairs: Vec<Pair> = seeds.iter().map(|&seed| measure(policy, seed, scenario)).collect();
    let spread = |value: fn(&Pair) -> f64| Spread::of(pairs.iter().map(value).collect());
    let cells = vec![
        spread(|pair| quantile(&pair.normal, 0.5)),
        spread(|pair| quantile(&pair.normal, 0.99)),
        spread(|pair| quantile(&pair.slowed, 0.5)),
        spread(|pair| quantile(&pair.slowed, 0.99)),
        spread(|pair| quantile(&pair.slowed, 0.99) / quantile(&pair.normal, 0.99)),
        spread(|pair| pair.slowed.hedges as f64 / pair.slowed.first_attempts as f64),
    ];
    Row { policy: policy.name().to_owned(), cells }
}

fn measure(policy: Policy, seed: u64, scenario: Scenario) -> Pair {
    let slowed = Demand {
        scenario,
        rate: Demand::rate(scenario, LOAD, Demand::mean_us(None)),
        seconds: MEASURED_SECONDS,
        long: None,
        only_long: false,
        slowdown: Some(SLOWDOWN),
        report_delay: REPORT_DELAY,
    };
    let normal = Demand { slowdown: Some(Slowdown { factor: 1, ..SLOWDOWN }), ..slowed };
    Pair { normal: serve(&normal, policy, seed), slowed: serve(&slowed, policy, seed) }
}

/// A quantile of the latency of short requests, in milliseconds.
fn quantile(result: &Results, quantile: f64) -> f64 {
    result.short.value_at_quantile(quantile) as f64 / 1000.0
}
