use snafu::Snafu;
use std::io;
use std::path::PathBuf;

/// Why a fleet can't be started or controlled.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The operating system couldn't start a process.
    #[snafu(display("can't start {}: {source}", program.display()))]
    Start {
        /// The program's path.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The first line that a process printed isn't a listen address, or the process ended first.
    #[snafu(display("{name} should print its listen address first, but printed {line:?}"))]
    NoAddress {
        /// The name of the process.
        name: String,
        /// The first line; empty if the process ended without printing one.
        line: String,
    },
    /// A signal or a file operation failed.
    #[snafu(display("can't {action}: {source}"))]
    System {
        /// The operation, as a verb phrase such as `write e1.ini`.
        action: String,
        /// The cause.
        source: io::Error,
    },
    /// A request to a stand-in failed.
    #[snafu(display("request to a stand-in failed ({action}): {detail}"))]
    Request {
        /// The purpose or path of the request.
        action: String,
        /// The failure, or the response's status.
        detail: String,
    },
}
