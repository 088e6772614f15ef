//! `heatherbend check PATH`.

mod configuration;
mod declaration;
mod input;
mod report;

use crate::failure::Failure;
use crate::output::Output;
use argh::FromArgs;
use std::path::PathBuf;

/// Check a declaration or a platform's configuration, report everything that is wrong and, with
/// --against, what would change; nothing is changed.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "heatherbend check declaration/ --against declaration-in-force/",
    example = "heatherbend check config.json --against in-force.json --usage usage.json",
    note = "Errors exit with 2. Warnings exit with 0, unless --deny-warnings is given.",
    note = "--usage, --vm-settings and --deny-warnings are for configurations."
)]
pub struct Args {
    /// directory with deployment.ini, presets.ini and drains.ini, and maybe node.ini, which is
    /// checked as well; or file with a platform's configuration, as in the store's row op/config
    #[argh(positional)]
    path: PathBuf,
    /// directory or file that is in force, to show what would change
    #[argh(option)]
    against: Option<PathBuf>,
    /// file with the requests a second that accounts send today: {"ACCOUNT": 12.5}
    #[argh(option)]
    usage: Option<PathBuf>,
    /// settings file of a VM, which gives the regions and the tolerance of usage caps
    #[argh(option)]
    vm_settings: Option<PathBuf>,
    /// exit with 2 for warnings too
    #[argh(switch)]
    deny_warnings: bool,
}

/// Checks what `path` holds.
pub fn run(args: &Args, output: &Output) -> Result<(), Failure> {
    if is_configuration(args) {
        return configuration::run(args, output);
    }
    if args.usage.is_some() || args.vm_settings.is_some() || args.deny_warnings {
        let text = "--usage, --vm-settings and --deny-warnings need a configuration's file";
        return Err(Failure::Usage(text.into()));
    }
    declaration::run(&args.path, args.against.as_deref(), output)
}

/// Whether `path` is a configuration: any file, or a missing one that is called like one.
fn is_configuration(args: &Args) -> bool {
    let is_json = args.path.extension().is_some_and(|extension| extension == "json");
    if args.path.exists() { !args.path.is_dir() } else { is_json }
}
