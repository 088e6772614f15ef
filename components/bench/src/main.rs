//! The measuring tool.
//!
//! Each experiment drives the decisions of `steering` in virtual time over small fakes and prints
//! our policy beside every baseline. See docs/CHOICE.md and docs/MEASURES.md.

use argh::FromArgs;
use bench::real::{measure_control, measure_load};
use bench::{Experiment, Scene, Table, experiments};
use clock::Millis;
use errors::{Error, Kind};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Runtime;

/// Measures heatherbend's decisions in virtual time.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    List(List),
    Run(Run),
    Control(Control),
    Load(Load),
}

/// Measures what control costs each node of fleets of real control processes on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "control")]
struct Control {
    /// sizes of the fleets, such as 9,50,100
    #[argh(option, default = "\"9,50,100\".into()")]
    vms: String,
    /// seconds to measure each fleet
    #[argh(option, default = "20")]
    seconds: u64,
    /// directory of the declaration
    #[argh(option, default = "\"examples/maalwerk\".into()")]
    declaration: PathBuf,
    /// with 110 sites and 140,030 blocks that each stand alone
    #[argh(switch)]
    design: bool,
}

/// Measures what one real entry VM carries on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
struct Load {
    /// look-ups, then requests a second, to one of three entry VMs
    #[argh(option, default = "200")]
    rate: u64,
    /// seconds of each
    #[argh(option, default = "10")]
    seconds: u64,
    /// directory of the declaration
    #[argh(option, default = "\"examples/maalwerk\".into()")]
    declaration: PathBuf,
}

/// Lists the experiments.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Runs one experiment and prints its table; exits with 1 if a target is missed.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// the experiment's name, or `all`
    #[argh(positional)]
    name: String,
    /// the first of the seeds, 1 if not given
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds, 5 if not given
    #[argh(option, default = "5")]
    seeds: u64,
    /// maalwerk or lumiere; both if not given
    #[argh(option)]
    deployment: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

const BAD_INPUT: u8 = 2;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::List(_) => list(),
        Command::Run(run) => measure(&run),
        Command::Control(options) => finish(block_on(control(&options))),
        Command::Load(options) => finish(block_on(load(&options))),
    }
}

fn block_on<Work>(work: Work) -> Result<(), Error>
where
    Work: Future<Output = Result<(), Error>>,
{
    let runtime = Runtime::new();
    runtime.map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?.block_on(work)
}

fn finish(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error.to_string()),
    }
}

async fn control(options: &Control) -> Result<(), Error> {
    println!(
        "{:>6}{:>14}{:>12}{:>12}{:>12}{:>14}",
        "VMs", "% of a core", "median MiB", "max MiB", "bytes/s", "preset all ms"
    );
    let span = Millis::from_secs(options.seconds);
    for vms in options.vms.split(',').filter_map(|text| text.trim().parse().ok()) {
        let cost = measure_control(&options.declaration, vms, options.design, span).await?;
        println!(
            "{:>6}{:>14.3}{:>12.1}{:>12.1}{:>12.0}{:>14}",
            cost.vms,
            cost.processor_percent,
            cost.resident_mib,
            cost.resident_max_mib,
            cost.bytes_per_second,
            cost.spread_ms
        );
    }
    Ok(())
}

async fn load(options: &Load) -> Result<(), Error> {
    println!(
        "{:<10}{:>10}{:>12}{:>9}{:>8}{:>8}{:>9}{:>12}{:>8}",
        "kind",
        "offered",
        "answered/s",
        "refused",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "us/request",
        "MiB"
    );
    let span = Millis::from_secs(options.seconds);
    for rate in measure_load(&options.declaration, options.rate, span).await? {
        println!(
            "{:<10}{:>10}{:>12.1}{:>9}{:>8}{:>8}{:>9}{:>12.1}{:>8.1}",
            rate.kind,
            rate.offered,
            rate.answered,
            rate.refused,
            rate.p50_ms,
            rate.p99_ms,
            rate.p999_ms,
            rate.processor_us,
            rate.resident_mib
        );
    }
    Ok(())
}

fn list() -> ExitCode {
    for experiment in experiments() {
        println!("{:12} {}", experiment.name(), experiment.about());
    }
    ExitCode::SUCCESS
}

fn measure(run: &Run) -> ExitCode {
    let scenes = match &run.deployment {
        None => Scene::ALL.to_vec(),
        Some(name) => match Scene::parse(name) {
            Some(scene) => vec![scene],
            None => return fail(&format!("no deployment {name}; there are maalwerk and lumiere")),
        },
    };
    let mut chosen = experiments();
    chosen.retain(|experiment| run.name == "all" || experiment.name() == run.name);
    if chosen.is_empty() {
        return fail(&format!("no experiment {}; see `bench list`", run.name));
    }
    let seeds: Vec<u64> = (run.seed..run.seed + run.seeds.max(1)).collect();
    let mut met = true;
    for experiment in &chosen {
        for &scene in &scenes {
            let table = experiment.run(&seeds, scene);
            met &= table.is_met();
            print(experiment.as_ref(), &table, run.json);
        }
    }
    if met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print(experiment: &dyn Experiment, table: &Table, json: bool) {
    if json {
        println!("{}", table.json(experiment.name()));
    } else {
        println!("{table}");
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("bench: {message}");
    ExitCode::from(BAD_INPUT)
}
