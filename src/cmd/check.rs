//! `heatherbend check DIR`.

use crate::failure::Failure;
use crate::output::Output;
use argh::FromArgs;
use serde::Serialize;
use settings::{Declaration, Finding};
use std::path::{Path, PathBuf};

/// The settings file of an entry VM, checked only if it exists.
const NODE_FILE: &str = "node.ini";

/// Check a declaration, and the node's own file beside it if there is one, and report everything
/// that is wrong; nothing is changed.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Args {
    /// directory with deployment.ini, presets.ini and drains.ini, and maybe node.ini
    #[argh(positional)]
    dir: PathBuf,
}

/// The size of a valid declaration.
#[derive(Serialize)]
struct Summary {
    deployment: String,
    regions: usize,
    sites: usize,
    services: usize,
    presets: usize,
    drains: usize,
}

/// Loads the declaration in `dir`. The findings include those of the entry VM's settings file.
fn load(dir: &Path) -> Result<Declaration, Vec<Finding>> {
    let declaration = settings::load(dir);
    let settings_file = dir.join(NODE_FILE);
    let Some(findings) =
        settings_file.exists().then(|| settings::load_node(&settings_file).err()).flatten()
    else {
        return declaration;
    };
    Err(declaration.err().unwrap_or_default().into_iter().chain(findings).collect())
}

/// Checks a declaration.
pub fn run(args: &Args, output: &Output) -> Result<(), Failure> {
    let declaration = load(&args.dir)?;
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
