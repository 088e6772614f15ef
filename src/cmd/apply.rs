//! `heatherbend apply DIR`.

use crate::cmd::accepted;
use crate::failure::Failure;
use crate::output::Output;
use crate::remote::Remote;
use argh::FromArgs;
use operator::Api;
use operator::wire::{Accepted, Apply};
use serde::Serialize;
use settings::{Change, Declaration, ORDINARY, compare};
use std::io::{self, BufRead, IsTerminal, Write};
use std::path::PathBuf;
use std::sync::Arc;

/// Put a declaration in force, after showing what would change.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "apply",
    note = "The declaration's drains replace those in force, also drains planned by `drain plan`.",
    note = "On a terminal it asks before it acts, unless --yes is given."
)]
pub struct Args {
    /// directory with deployment.ini, presets.ini and drains.ini
    #[argh(positional)]
    dir: PathBuf,
    /// show what would change, and change nothing
    #[argh(switch)]
    dry_run: bool,
    /// don't ask
    #[argh(switch)]
    yes: bool,
}

/// The changes, and the accepted operation if they were applied.
#[derive(Serialize)]
struct Summary {
    /// The version in force to which `changes` are relative.
    from: u64,
    changes: Vec<Change>,
    accepted: Option<Accepted>,
}

/// The state in force before the command.
struct Base {
    version: u64,
    preset: Arc<str>,
    declaration: Option<Declaration>,
}

/// Puts a declaration in force.
pub async fn run(args: &Args, remote: &Remote, output: &Output) -> Result<(), Failure> {
    let declaration = settings::load(&args.dir)?;
    let source = settings::read(&args.dir)?;
    let api = remote.connect()?;
    let base = read_base(api.as_ref()).await?;
    let mut summary =
        Summary { from: base.version, changes: changes(&base, &declaration), accepted: None };
    print_changes(&base, &summary.changes, output);
    let is_change = base.declaration.is_none() || !summary.changes.is_empty();
    if is_change && !args.dry_run && (args.yes || confirm()) {
        let operation = remote.operation()?;
        let request = Apply { expected: base.version, operation, source };
        let accepted = api.apply(request).await?;
        accepted::print(&accepted, output);
        summary.accepted = Some(accepted);
    } else {
        output.line("nothing was changed");
    }
    output.document(&summary);
    Ok(())
}

async fn read_base(api: &dyn Api) -> Result<Base, Failure> {
    let status = api.status().await?;
    if status.version == 0 {
        return Ok(Base { version: 0, preset: ORDINARY.into(), declaration: None });
    }
    let current = api.current().await?;
    let (version, preset) = (current.version, current.preset);
    Ok(Base { version, preset, declaration: Some(current.declaration) })
}

fn changes(base: &Base, declaration: &Declaration) -> Vec<Change> {
    let Some(old) = &base.declaration else {
        return Vec::new();
    };
    let mut changes = compare(old, declaration);
    if !declaration.presets.iter().any(|preset| preset.name == base.preset) {
        changes.push(Change {
            section: "preset in force".into(),
            key: String::new(),
            before: Some(base.preset.to_string()),
            after: Some(ORDINARY.into()),
        });
    }
    changes
}

fn print_changes(base: &Base, changes: &[Change], output: &Output) {
    if base.declaration.is_none() {
        output.line("no declaration is in force; this would be the first");
        return;
    }
    output.line(&format!("{} changes to version {}", changes.len(), base.version));
    for change in changes {
        output.line(&change.to_string());
    }
}

/// Asks for confirmation on a terminal. Elsewhere nobody can answer, and the command itself counts
/// as consent.
fn confirm() -> bool {
    if !io::stdin().is_terminal() {
        return true;
    }
    let _ = write!(io::stderr(), "put this in force? [y/N] ");
    let mut answer = String::new();
    let read = io::stdin().lock().read_line(&mut answer);
    read.is_ok() && answer.trim().eq_ignore_ascii_case("y")
}
