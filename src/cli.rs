//! The subcommands.

use crate::cmd::trial;
use argh::FromArgs;
use errors::Error;

/// Operate heatherbend.
#[derive(FromArgs)]
pub struct Options {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Try(trial::Options),
}

/// Runs the command.
///
/// # Errors
///
/// The error of the command, whose kind gives the exit code.
pub async fn run(options: Options) -> Result<(), Error> {
    match options.command {
        Command::Try(options) => trial::run(options).await,
    }
}
