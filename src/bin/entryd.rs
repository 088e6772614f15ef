//! The data plane of an entry VM: look-ups and requests of callers.

use argh::FromArgs;
use clock::Clock;
use daemon::entryd::Daemon;
use errors::{Error, Kind};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// The data plane of an entry VM: look-ups and requests of callers.
#[derive(FromArgs)]
struct Options {
    /// the node's own settings file
    #[argh(positional)]
    node: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    daemon::exit(run(options).await)
}

async fn run(options: Options) -> Result<(), Error> {
    let node = daemon::load_node(&options.node)?;
    let logging = telemetry::Options::new(&node.log_level, node.log_rate);
    let clock = Clock::system();
    let platform = platform::http::Client::new(node.platform.clone())
        .map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
    let local = node.local;
    let daemon = Daemon::bind(node).await?.open(local, Arc::new(platform), clock)?;
    daemon::announce(&daemon.listen());
    let log = daemon::open_log(logging, clock)?;
    daemon::stop_requested().await?;
    daemon.close().await;
    log.close();
    Ok(())
}
