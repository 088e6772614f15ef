//! `heatherbend check DIR`.

use crate::failure::Failure;
use crate::output::Output;
use argh::FromArgs;
use serde::Serialize;
use std::path::PathBuf;

/// Check a declaration and report everything that is wrong with it; nothing is changed.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Args {
    /// directory with deployment.ini, presets.ini and drains.ini
    #[argh(positional)]
    dir: PathBuf,
}

/// What a good declaration holds.
#[derive(Serialize)]
struct Summary {
    deployment: String,
    regions: usize,
    sites: usize,
    services: usize,
    presets: usize,
    drains: usize,
}

/// Checks a declaration.
pub fn run(args: &Args, output: &Output) -> Result<(), Failure> {
    let declaration = settings::load(&args.dir)?;
    let summary = Summary {
        deployment: declaration.deployment.name.to_string(),
        regions: declaration.deployment.regions.len(),
        sites: declaration.deployment.sites.len(),
        services: declaration.deployment.services.len(),
        presets: declaration.presets.len(),
        drains: declaration.drains.len(),
    };
    output.line(&format!(
        "{} is good: {} regions, {} sites, {} services, {} presets, {} drains",
        summary.deployment,
        summary.regions,
        summary.sites,
        summary.services,
        summary.presets,
        summary.drains
    ));
    output.document(&summary);
    Ok(())
}
