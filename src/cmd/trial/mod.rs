//! `heatherbend try`: entry VMs and stand-in upstreams in one process, on the in-memory platform.

mod cluster;
mod load;
mod summary;

use argh::FromArgs;
use clock::Clock;
use cluster::Cluster;
use errors::{Error, Kind};
use std::path::PathBuf;
use summary::Summary;

/// Serve the whole path in one process, on the in-memory platform and stand-in upstreams.
#[derive(FromArgs)]
#[argh(subcommand, name = "try")]
pub struct Options {
    /// directory of the declaration
    #[argh(positional)]
    dir: PathBuf,
    /// send this many requests, print a summary and end
    #[argh(option)]
    requests: Option<u64>,
    /// requests under way at a time
    #[argh(option, default = "32")]
    concurrency: u64,
    /// seed of the callers' choices
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the command; the summary is printed as JSON when `json` is set.
///
/// # Errors
///
/// [`Kind::BadSettings`] when the declaration is invalid; otherwise the error of the failed part.
pub async fn run(options: Options, json: bool) -> Result<(), Error> {
    let source = settings::read(&options.dir).map_err(bad_settings)?;
    let declaration = settings::parse(&source).map_err(bad_settings)?;
    let clock = Clock::system();
    let cluster = Cluster::open(clock, declaration, source).await?;
    match options.requests {
        Some(requests) => {
            let summary = load::send(&cluster, &options, requests).await?;
            print(&summary, json);
        }
        None => serve(&cluster, clock).await?,
    }
    cluster.close().await;
    Ok(())
}

fn bad_settings(findings: Vec<settings::Finding>) -> Error {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    Error::new(Kind::BadSettings, lines.join("\n"))
}

fn print(summary: &Summary, json: bool) {
    match json {
        true => println!("{}", summary.to_json()),
        false => println!("{summary}"),
    }
}

/// Prints example commands and then, at intervals, the number of executed requests, until SIGTERM
/// or SIGINT.
async fn serve(cluster: &Cluster, clock: Clock) -> Result<(), Error> {
    println!("{}", cluster.hints());
    let progress = async {
        loop {
            clock.sleep(cluster::PROGRESS_INTERVAL).await;
            println!("{} requests ran at upstreams", cluster.executions());
        }
    };
    tokio::select! {
        biased;
        stopped = daemon::stop_requested() => stopped,
        () = progress => Ok(()),
    }
}
