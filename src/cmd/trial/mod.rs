//! `heatherbend try`: the whole path in one process, on the in-memory platform.

mod load;
mod summary;
mod world;

use argh::FromArgs;
use clock::Clock;
use errors::{Error, Kind};
use std::path::PathBuf;
use summary::Summary;
use world::World;

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
/// [`Kind::BadSettings`] when the declaration is invalid; the kind of whatever fails otherwise.
pub async fn run(options: Options, json: bool) -> Result<(), Error> {
    let source = settings::read(&options.dir).map_err(bad_settings)?;
    let declaration = settings::parse(&source).map_err(bad_settings)?;
    let clock = Clock::system();
    let world = World::open(clock, declaration, source).await?;
    match options.requests {
        Some(requests) => {
            let summary = load::send(&world, &options, requests).await?;
            print(&summary, json);
        }
        None => serve(&world, clock).await?,
    }
    world.close().await;
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

/// Shows what to try and how much is served, until SIGTERM or SIGINT.
async fn serve(world: &World, clock: Clock) -> Result<(), Error> {
    println!("{}", world.hints());
    let progress = async {
        loop {
            clock.sleep(world::PROGRESS).await;
            println!("{} requests ran at upstreams", world.ran());
        }
    };
    tokio::select! {
        biased;
        stopped = daemon::stop_requested() => stopped,
        () = progress => Ok(()),
    }
}
