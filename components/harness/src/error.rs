use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Why a fleet can't be started or driven.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A process can't be started.
    #[snafu(display("can't start {}", program.display()))]
    Start {
        /// The program.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A process ended or went silent before it said where it listens.
    #[snafu(display("{name} didn't say where it listens: {line:?}"))]
    Silent {
        /// The process.
        name: String,
        /// What it printed.
        line: String,
    },
    /// A signal or a file operation failed.
    #[snafu(display("{action}"))]
    System {
        /// What was tried.
        action: String,
        /// The cause.
        source: io::Error,
    },
    /// A stand-in refused a command.
    #[snafu(display("{action}: {detail}"))]
    Command {
        /// What was tried.
        action: String,
        /// What went wrong.
        detail: String,
    },
}
