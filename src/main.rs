//! `heatherbend`, the operators' command line.

mod cli;
mod cmd;
mod failure;
mod output;
mod remote;

use cli::{Cli, Command, Parsed};
use failure::Failure;
use output::Output;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match cli::parse(&args) {
        Parsed::Run(cli) => run(*cli).await,
        Parsed::Help(text) => {
            Output::text().line(text.trim_end());
            ExitCode::SUCCESS
        }
        Parsed::Invalid(text) => Output::text().fail(&Failure::Usage(text)),
    }
}

async fn run(cli: Cli) -> ExitCode {
    let output = if cli.json { Output::json() } else { Output::text() };
    match dispatch(cli, &output).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => output.fail(&failure),
    }
}

async fn dispatch(cli: Cli, output: &Output) -> Result<(), Failure> {
    let Cli { remote, command, json } = cli;
    match command {
        Command::Check(args) => cmd::check::run(&args, output),
        Command::Apply(args) => cmd::apply::run(&args, &remote, output).await,
        Command::Preset(args) => cmd::preset::run(args, &remote, output).await,
        Command::Drain(args) => cmd::drain::run(args, &remote, output).await,
        Command::Status(args) => cmd::status::run(&args, &remote, output).await,
        Command::Explain(args) => cmd::explain::run(args, &remote, output).await,
        Command::Try(args) => Ok(cmd::trial::run(args, json).await?),
    }
}
