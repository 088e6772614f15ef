//! The measuring tool.
//!
//! Each experiment drives the decisions of `steering` in virtual time over small fakes and prints
//! our policy beside every baseline. See docs/CHOICE.md and docs/MEASURES.md.

use argh::FromArgs;
use bench::{Experiment, Scene, Table, experiments};
use std::process::ExitCode;

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
    }
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
