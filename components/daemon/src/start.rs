use clock::Clock;
use errors::{Error, Kind};
use serde::Serialize;
use settings::Node;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use telemetry::{Log, Options};

/// Reads a node's own file.
///
/// # Errors
///
/// [`Kind::BadSettings`] with every finding.
pub fn load_node(path: &Path) -> Result<Node, Error> {
    settings::load_node(path).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        Error::new(Kind::BadSettings, lines.join("\n"))
    })
}

/// Starts logging and metrics; to be called after [`announce`], which prints the first line.
///
/// # Errors
///
/// [`Kind::Internal`] when the log's thread can't be started.
pub fn open_log(options: Options, clock: Clock) -> Result<Log, Error> {
    let failed = |cause: io::Error| Error::new(Kind::Internal, format!("can't log: {cause}"));
    telemetry::install(options, clock).map_err(failed)
}

/// The platform that the node's file names.
///
/// # Errors
///
/// [`Kind::Internal`] when the HTTP client can't be set up.
pub fn connect(node: &Node) -> Result<Arc<store::http::Client>, Error> {
    let client = store::http::Client::new(node.platform.clone());
    client.map(Arc::new).map_err(|cause| Error::new(Kind::Internal, cause.to_string()))
}

/// Prints where a daemon listens, as one line of JSON before any log line.
pub fn announce<T>(listen: &T)
where
    T: Serialize,
{
    // Addresses always have a JSON form.
    println!("{}", serde_json::to_string(listen).unwrap_or_default());
}

/// Prints the error, if any, and gives the exit code of its kind.
pub fn exit(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.response().exit)
        }
    }
}
