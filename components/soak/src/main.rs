//! Runs seeds of the fault soak from the command line.

use argh::FromArgs;
use soak::Features;
use std::path::PathBuf;
use std::process::ExitCode;

/// Plays a randomised series of faults against real gateway processes on loopback.
#[derive(FromArgs)]
struct Options {
    #[argh(subcommand)]
    list: Option<List>,
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// how many seeds are played, one after the other (default 1)
    #[argh(option, default = "1")]
    count: u64,
    /// how long each is played, in seconds (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// how many VMs, 90 at most (default 6); with more than 16, few of them read from the store
    #[argh(option, default = "soak::FEW_VMS")]
    vms: usize,
    /// also what the gateways don't support yet
    #[argh(switch)]
    all: bool,
    /// all but usage caps of accounts
    #[argh(switch)]
    uncapped: bool,
    /// the gateway's program (default: beside this one)
    #[argh(option)]
    program: Option<PathBuf>,
}

/// Lists the seeds that failed once, with their causes.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    if options.list.is_some() {
        for seed in soak::regressions() {
            println!("{} {} s: {}", seed.number, seed.seconds, seed.cause);
        }
        return ExitCode::SUCCESS;
    }
    let Some(program) = options.program.clone().or_else(default_program) else {
        eprintln!("can't find the gateway's program: give its path with --program");
        return ExitCode::FAILURE;
    };
    if !(1..=soak::MAX_VMS).contains(&options.vms) {
        eprintln!("--vms: {} is not between 1 and {}", options.vms, soak::MAX_VMS);
        return ExitCode::FAILURE;
    }
    let mut failed = false;
    for seed in options.seed..options.seed + options.count {
        let scenario = soak::Scenario {
            seed,
            seconds: options.seconds,
            vms: options.vms,
            features: match (options.all, options.uncapped) {
                (_, true) => Features::UNCAPPED,
                (true, false) => Features::ALL,
                (false, false) => Features::default(),
            },
        };
        failed |= !run(scenario, &program).await;
    }
    if failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}

/// Runs one seed and prints the result; `true` if no guarantee was violated.
async fn run(scenario: soak::Scenario, program: &std::path::Path) -> bool {
    let soak::Scenario { seed, seconds, vms, .. } = scenario;
    let directory = std::env::temp_dir().join(format!("soak-{}", std::process::id()));
    let report = match soak::run(scenario, program, &directory).await {
        Ok(report) => report,
        Err(error) => {
            eprintln!("seed {seed}: {error}");
            return false;
        }
    };
    let responses: Vec<String> =
        report.responses.iter().map(|(status, count)| format!("{status}: {count}")).collect();
    let faults = report.faults.len();
    println!("seed {seed}, {seconds} s, {vms} VMs, {faults} faults; {}", responses.join(", "));
    if report.violations.is_empty() {
        return true;
    }
    for (at, fault) in &report.faults {
        println!("  {:.3} s {fault:?}", at.as_secs_f64());
    }
    for violation in &report.violations {
        println!("  VIOLATION {violation}");
    }
    false
}

fn default_program() -> Option<PathBuf> {
    Some(std::env::current_exe().ok()?.with_file_name("gatewayd"))
}
