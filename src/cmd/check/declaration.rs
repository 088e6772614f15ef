//! The check of a declaration.

use crate::failure::Failure;
use crate::output::Output;
use serde::Serialize;
use settings::{Change, Declaration, Finding, compare};
use std::path::Path;

/// The settings file of an entry VM, checked only if it exists.
const NODE_FILE: &str = "node.ini";

/// The size of a valid declaration.
#[derive(Serialize)]
struct Summary {
    deployment: String,
    regions: usize,
    sites: usize,
    services: usize,
    presets: usize,
    drains: usize,
    /// What differs from the declaration in force, if there is one to compare with.
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<Vec<Change>>,
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

/// Checks the declaration in `dir`.
pub fn run(dir: &Path, against: Option<&Path>, output: &Output) -> Result<(), Failure> {
    let declaration = load(dir)?;
    let in_force = against.map(settings::load).transpose()?;
    let changes = in_force.map(|in_force| compare(&in_force, &declaration));
    let summary = Summary {
        deployment: declaration.deployment.name.to_string(),
        regions: declaration.deployment.regions.len(),
        sites: declaration.deployment.sites.len(),
        services: declaration.deployment.services.len(),
        presets: declaration.presets.len(),
        drains: declaration.drains.len(),
        changes,
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
    if let Some(changes) = &summary.changes {
        output.line(&format!("{} changes", changes.len()));
        changes.iter().for_each(|change| output.line(&change.to_string()));
    }
    output.document(&summary);
    Ok(())
}
