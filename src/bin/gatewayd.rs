//! `gatewayd`, an entry VM on the users' platform: answers look-ups and forwards requests.

use argh::FromArgs;
use clock::Clock;
use errors::{Error, Kind};
use gateway::{Gateway, Settings};
use platform::{Ledger, Overrides, Protocol, Row, SETTINGS_VARIABLE, Store};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::task::LocalSet;

/// Log lines about requests and attempts per second; further lines are dropped and counted.
const MAX_LOG_LINES_PER_S: u32 = 400;

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
    // First of all, as the signals' default is to end the process.
    let signals = daemon::Signals::open();
    let options: Options = argh::from_env();
    daemon::exit(LocalSet::new().run_until(run(options, signals)).await)
}

async fn run(options: Options, signals: Result<daemon::Signals, Error>) -> Result<(), Error> {
    let signals = signals?;
    let path = settings_path(&options)?;
    let overrides = Overrides { metrics_port: options.metrics_port };
    let (settings, store) = load(&path, overrides)?;
    let clock = Clock::system();
    let log =
        daemon::open_log(telemetry::Options::new(&options.log_level, MAX_LOG_LINES_PER_S), clock)?;
    let open_store = move || Box::new(Store::new(store)) as _;
    let gateway = Gateway::open(settings, Box::new(Protocol), open_store, clock).await?;
    gateway.enforce_caps(Box::new(Ledger::new(store, Row::Coordinator))).await?;
    gateway.remember_eras(Box::new(Ledger::new(store, Row::SettledEra)));
    serve(&gateway, &path, overrides, signals).await;
    gateway.close().await;
    log.close();
    Ok(())
}

/// Serves until SIGTERM or SIGINT; SIGHUP reloads the settings.
async fn serve(gateway: &Gateway, path: &Path, overrides: Overrides, mut signals: daemon::Signals) {
    while signals.next().await == daemon::Request::Reload {
        match load(path, overrides) {
            Ok((settings, _)) => gateway.reload(settings),
            Err(error) => {
                log::warn!(
                    target: "process", cause:% = error;
                    "settings not reloaded; keeping the previous ones"
                );
            }
        }
    }
}

fn settings_path(options: &Options) -> Result<PathBuf, Error> {
    let given = options.settings.clone();
    given.or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from)).ok_or_else(|| {
        let text = format!("no settings file: give --settings or set {SETTINGS_VARIABLE}");
        Error::new(Kind::BadSettings, text)
    })
}

fn load(path: &Path, overrides: Overrides) -> Result<(Settings, SocketAddr), Error> {
    let text = std::fs::read_to_string(path).map_err(|cause| {
        Error::new(
            Kind::BadSettings,
            format!("can't read the settings file {}: {cause}", path.display()),
        )
    })?;
    platform::parse_settings(&text, overrides)
}
