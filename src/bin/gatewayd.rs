//! An entry VM on the users' platform: look-ups, requests and everything they need.

use argh::FromArgs;
use clock::Clock;
use errors::{Error, Kind};
use gateway::{Gateway, Settings};
use platform::{Overrides, Protocol, SETTINGS_VARIABLE, Store};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;

/// Log lines of requests and attempts a second; more are counted and left out.
const LOG_RATE: u32 = 400;

/// An entry VM on the users' platform: look-ups, requests and everything they need.
#[derive(FromArgs)]
struct Options {
    /// the settings file; without it, the one that the platform's variable names
    #[argh(option)]
    settings: Option<PathBuf>,
    /// port on which metrics are served, under /metrics
    #[argh(option)]
    metrics_port: Option<u16>,
    /// least level of log lines: error, warn, info or debug
    #[argh(option, default = "String::from(\"info\")")]
    log_level: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    daemon::exit(LocalSet::new().run_until(run(options)).await)
}

async fn run(options: Options) -> Result<(), Error> {
    let path = settings_path(&options)?;
    let overrides = Overrides { metrics_port: options.metrics_port };
    let (settings, store) = load(&path, overrides)?;
    let clock = Clock::system();
    let log = daemon::open_log(telemetry::Options::new(&options.log_level, LOG_RATE), clock)?;
    let sources = move || Box::new(Store::new(store)) as _;
    let gateway = Gateway::open(settings, Box::new(Protocol), sources, clock).await?;
    serve(&gateway, &path, overrides).await?;
    gateway.close().await;
    log.close();
    Ok(())
}

/// Serves until the process is told to stop; rereads the settings when told to.
async fn serve(gateway: &Gateway, path: &Path, overrides: Overrides) -> Result<(), Error> {
    let mut hangup = signal(SignalKind::hangup())
        .map_err(|cause| Error::new(Kind::Internal, format!("can't handle SIGHUP: {cause}")))?;
    let stop = daemon::stop_requested();
    tokio::pin!(stop);
    loop {
        tokio::select! {
            stopped = &mut stop => return stopped,
            _ = hangup.recv() => match load(path, overrides) {
                Ok((settings, _)) => gateway.reload(settings),
                Err(error) => {
                    log::warn!(target: "process", cause:% = error; "settings kept as they were");
                }
            },
        }
    }
}

fn settings_path(options: &Options) -> Result<PathBuf, Error> {
    let named = options.settings.clone();
    named.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)).ok_or_else(|| {
        let text = format!("no settings file: give --settings or set {SETTINGS_VARIABLE}");
        Error::new(Kind::BadSettings, text)
    })
}

fn load(path: &Path, overrides: Overrides) -> Result<(Settings, SocketAddr), Error> {
    let text = std::fs::read_to_string(path)
        .map_err(|cause| Error::new(Kind::BadSettings, format!("{}: {cause}", path.display())))?;
    platform::parse_settings(&text, overrides)
}
