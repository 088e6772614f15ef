//! `entryd`, the data plane of an entry VM: answers look-ups and forwards requests of callers.

use argh::FromArgs;
use clock::Clock;
use daemon::entryd::Daemon;
use errors::Error;
use std::path::PathBuf;
use std::process::ExitCode;

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
    let settings = daemon::load_node(&options.node)?;
    let logging = telemetry::Options::new(&settings.log_level, settings.log_rate);
    let clock = Clock::system();
    let platform = daemon::connect(&settings)?;
    let local = settings.local;
    let daemon = Daemon::bind(settings).await?.open(local, platform, clock)?;
    daemon::announce(&daemon.listen());
    let log = daemon::open_log(logging, clock)?;
    daemon::stop_requested().await?;
    daemon.close().await;
    log.close();
    Ok(())
}
