//! Command line of the benchmarks.
//!
//! Each experiment runs the decisions of `steering` in virtual time against in-memory fakes and
//! prints the policy in force beside every baseline. See docs/CHOICE.md and docs/MEASURES.md.

use argh::FromArgs;
use bench::real::{measure_control, measure_load};
use bench::{Experiment, Scenario, Table, experiments};
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

/// Exit code when an argument is invalid or a measurement fails.
const FAILURE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::List(_) => list(),
        Command::Run(run) => run_experiments(&run),
        Command::Control(options) => exit_code(block_on(control(&options))),
        Command::Load(options) => exit_code(block_on(load(&options))),
    }
}

fn block_on<Work>(work: Work) -> Result<(), Error>
where
    Work: Future<Output = Result<(), Error>>,
{
    let runtime = Runtime::new();
    runtime.map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?.block_on(work)
}

fn exit_code(result: Result<(), Error>) -> ExitCode {
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
            cost.cpu_percent,
            cost.median_memory_mib,
            cost.max_memory_mib,
            cost.bytes_per_second,
            cost.preset_ms
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
    for result in measure_load(&options.declaration, options.rate, span).await? {
        println!(
            "{:<10}{:>10}{:>12.1}{:>9}{:>8}{:>8}{:>9}{:>12.1}{:>8.1}",
            result.kind,
            result.offered,
            result.answered,
            result.refused,
            result.p50_ms,
            result.p99_ms,
            result.p999_ms,
            result.cpu_us,
            result.memory_mib
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

fn run_experiments(run: &Run) -> ExitCode {
    let scenarios = match &run.deployment {
        None => Scenario::ALL.to_vec(),
        Some(name) => match Scenario::parse(name) {
            Some(scenario) => vec![scenario],
            None => {
                return fail(&format!("unknown deployment {name}; known: maalwerk, lumiere"));
            }
        },
    };
    let mut selected = experiments();
    selected.retain(|experiment| run.name == "all" || experiment.name() == run.name);
    if selected.is_empty() {
        return fail(&format!(
            "unknown experiment {}; `bench list` prints the known ones",
            run.name
        ));
    }
    let seeds: Vec<u64> = (run.seed..run.seed + run.seeds.max(1)).collect();
    let mut all_met = true;
    for experiment in &selected {
        for &scenario in &scenarios {
            let table = experiment.run(&seeds, scenario);
            all_met &= table.is_met();
            print(experiment.as_ref(), &table, run.json);
        }
    }
    if all_met { ExitCode::SUCCESS } else { ExitCode::FAILURE }
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
    ExitCode::from(FAILURE_EXIT_CODE)
}
