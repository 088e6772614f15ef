use clock::Clock;
use errors::{Error, Kind};
use serde::Serialize;
use settings::Node;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use telemetry::{Log, Options};

/// Reads a VM's `node.ini`.
///
/// # Errors
///
/// [`Kind::BadSettings`] with all findings, one per line.
pub fn load_node(path: &Path) -> Result<Node, Error> {
    settings::load_node(path).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        Error::new(Kind::BadSettings, lines.join("\n"))
    })
}

/// Starts logging and metrics. Call it after [`announce`], whose line comes first on the output.
///
/// # Errors
///
/// [`Kind::Internal`] when a thread can't be started or a logger is installed already.
pub fn open_log(options: Options, clock: Clock) -> Result<Log, Error> {
    let failed =
        |cause: io::Error| Error::new(Kind::Internal, format!("can't start logging: {cause}"));
    telemetry::install(options, clock).map_err(failed)
}

/// A client of the platform whose addresses `node` gives.
///
/// # Errors
///
/// [`Kind::Internal`] when the HTTP client can't be set up.
pub fn connect(node: &Node) -> Result<Arc<store::http::Client>, Error> {
    let client = store::http::Client::new(node.platform.clone());
    client.map(Arc::new).map_err(|cause| Error::new(Kind::Internal, cause.to_string()))
}

/// Prints the addresses on which a daemon listens as one line of JSON, before any log line.
pub fn announce<T>(listen: &T)
where
    T: Serialize,
{
    // Serialising addresses can't fail.
    println!("{}", serde_json::to_string(listen).unwrap_or_default());
}

/// Prints the error, if any, and returns the exit code for its kind.
pub fn exit(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.response().exit)
        }
    }
}
