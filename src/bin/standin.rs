//! `standin`, stand-ins for the platform and for upstreams, for tests and trials on loopback.

use argh::FromArgs;
use clock::{Clock, Millis};
use daemon::Listener;
use errors::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use store::fake::Platform;
use upstream::Standin;
use upstream::fake::{Performance, Server};

/// Stand-ins for the outside systems, for tests and trials on loopback.
#[derive(FromArgs)]
struct Options {
    #[argh(subcommand)]
    system: System,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum System {
    Platform(PlatformOptions),
    Upstream(UpstreamOptions),
}

/// Serve the platform's table, object store and VM list from memory.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformOptions {
    /// address to listen on; port 0 takes any
    #[argh(option)]
    listen: SocketAddr,
}

/// Serve as one upstream.
#[derive(FromArgs)]
#[argh(subcommand, name = "upstream")]
struct UpstreamOptions {
    /// address to listen on; port 0 takes any
    #[argh(option)]
    listen: SocketAddr,
    /// name of the upstream's VM
    #[argh(option)]
    name: String,
    /// requests that run at a time
    #[argh(option, default = "4")]
    slots: u32,
    /// time that a request runs, in ms
    #[argh(option, default = "5")]
    service_ms: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options: Options = argh::from_env();
    daemon::exit(run(options.system).await)
}

async fn run(system: System) -> Result<(), Error> {
    let listener = match system {
        System::Platform(options) => open_platform(options).await?,
        System::Upstream(options) => open_upstream(options).await?,
    };
    println!("{}", listener.address());
    daemon::stop_requested().await?;
    listener.close(Millis::ZERO).await;
    Ok(())
}

async fn open_platform(options: PlatformOptions) -> Result<Listener, Error> {
    let platform = Platform::new(Clock::system());
    Listener::open(options.listen, store::standin::router(platform)).await
}

async fn open_upstream(options: UpstreamOptions) -> Result<Listener, Error> {
    let performance = Performance {
        slots: options.slots,
        service_time: Millis(options.service_ms),
        ..Performance::default()
    };
    let server = Server::new(options.name.into(), Clock::system(), performance);
    Listener::open(options.listen, Standin::new(Arc::new(server)).router()).await
}
