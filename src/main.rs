//! The operators' command line.

mod cli;
mod cmd;

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    daemon::exit(cli::run(argh::from_env()).await)
}
