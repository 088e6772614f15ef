//! `controld`, the control plane's agent on an entry VM.

use argh::FromArgs;
use clock::Clock;
use control::Platform;
use daemon::controld::Daemon;
use errors::Error;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

/// The control plane's agent of an entry VM.
#[derive(FromArgs)]
struct Options {
    /// the node's own settings file
    #[argh(positional)]
    node: PathBuf,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    daemon::exit(run(options).await)
}

async fn run(options: Options) -> Result<(), Error> {
    let settings = daemon::load_node(&options.node)?;
    let logging = telemetry::Options::new(&settings.log_level, settings.log_rate);
    let clock = Clock::system();
    let client = daemon::connect(&settings)?;
    let platform = Platform {
        table: Arc::clone(&client) as _,
        store: Arc::clone(&client) as _,
        directory: client,
    };
    let daemon = Daemon::open(settings, platform, clock).await?;
    daemon::announce(&daemon.listen());
    let log = daemon::open_log(logging, clock)?;
    daemon::stop_requested().await?;
    daemon.close().await;
    log.close();
    Ok(())
}
