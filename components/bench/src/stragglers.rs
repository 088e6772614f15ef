use crate::{
    Demand, Experiment, Policy, Row, Scene, Served, Slowdown, Spread, Table, Target, serve,
};
use clock::Millis;

const LOAD: f64 = 0.7;
const SECONDS: u64 = 60;
const SLOWDOWN: Slowdown = Slowdown { servers: 2, factor: 10 };
const REPORT_LAG: Millis = Millis(5000);
const TAIL_MOST: f64 = 1.5;
const EXTRA_MOST: f64 = 0.05;

/// The tail of short requests while some upstreams are slowed and their reports are late.
pub struct Stragglers;

struct Pair {
    calm: Served,
    slowed: Served,
}

impl Experiment for Stragglers {
    fn name(&self) -> &'static str {
        "stragglers"
    }

    fn about(&self) -> &'static str {
        "tail of short requests with 2 of 12 upstreams slowed tenfold, reports 5 s late"
    }

    fn run(&self, seeds: &[u64], scene: Scene) -> Table {
        let rows: Vec<Row> = Policy::ALL.iter().map(|&policy| row(policy, seeds, scene)).collect();
        let ours = &rows[rows.len() - 1].cells;
        let targets = vec![
            Target::at_most("p99 slowed / p99 calm", TAIL_MOST, ours[4]),
            Target::at_most("extra requests", EXTRA_MOST, ours[5]),
        ];
        Table {
            title: format!("stragglers, {}: 70% load, 60 s, latency in ms", scene.name()),
            seeds: seeds.to_vec(),
            columns: vec!["p50 calm", "p99 calm", "p50 slowed", "p99 slowed", "p99 ratio", "extra"],
            rows,
            targets,
        }
    }
}

fn row(policy: Policy, seeds: &[u64], scene: Scene) -> Row {
    let pairs: Vec<Pair> = seeds.iter().map(|&seed| measure(policy, seed, scene)).collect();
    let spread = |figure: fn(&Pair) -> f64| Spread::of(pairs.iter().map(figure).collect());
    let cells = vec![
        spread(|pair| quantile(&pair.calm, 0.5)),
        spread(|pair| quantile(&pair.calm, 0.99)),
        spread(|pair| quantile(&pair.slowed, 0.5)),
        spread(|pair| quantile(&pair.slowed, 0.99)),
        spread(|pair| quantile(&pair.slowed, 0.99) / quantile(&pair.calm, 0.99)),
        spread(|pair| pair.slowed.extra as f64 / pair.slowed.first as f64),
    ];
    Row { policy: policy.name().to_owned(), cells }
}

fn measure(policy: Policy, seed: u64, scene: Scene) -> Pair {
    let slowed = Demand {
        scene,
        rate: Demand::rate(scene, LOAD, Demand::mean_us(None)),
        seconds: SECONDS,
        long: None,
        only_long: false,
        slowdown: Some(SLOWDOWN),
        report_lag: REPORT_LAG,
    };
    let calm = Demand { slowdown: Some(Slowdown { factor: 1, ..SLOWDOWN }), ..slowed };
    Pair { calm: serve(&calm, policy, seed), slowed: serve(&slowed, policy, seed) }
}

fn quantile(result: &Served, quantile: f64) -> f64 {
    result.short.value_at_quantile(quantile) as f64 / 1000.0
}
