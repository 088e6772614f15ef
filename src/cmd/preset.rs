//! `heatherbend preset list|use`.

use crate::cmd::accepted;
use crate::failure::Failure;
use crate::output::Output;
use crate::remote::Remote;
use argh::FromArgs;
use operator::Api;
use operator::wire::UsePreset;
use serde::Serialize;
use settings::Preset;
use std::sync::Arc;

/// List the presets, or put one in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "preset")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    List(List),
    Use(Use),
}

/// List the presets and say which one is in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Put a preset in force; traffic then moves under that preset's shift cap.
#[derive(FromArgs)]
#[argh(subcommand, name = "use")]
struct Use {
    /// name of the preset
    #[argh(positional)]
    name: String,
}

/// The presets and the one in force.
#[derive(Serialize)]
struct Summary {
    version: u64,
    in_force: Arc<str>,
    presets: Vec<Preset>,
}

/// Lists presets or puts one in force.
pub async fn run(args: Args, remote: &Remote, output: &Output) -> Result<(), Failure> {
    let api = remote.connect()?;
    match args.action {
        Action::List(List {}) => list(api.as_ref(), output).await,
        Action::Use(args) => put_in_force(args, api.as_ref(), remote, output).await,
    }
}

async fn list(api: &dyn Api, output: &Output) -> Result<(), Failure> {
    let current = api.current().await?;
    let summary = Summary {
        version: current.version,
        in_force: current.preset,
        presets: current.declaration.presets,
    };
    for preset in &summary.presets {
        let mark = if preset.name == summary.in_force { '*' } else { ' ' };
        output.line(&format!("{mark} {:<16} {}", preset.name, describe(preset)));
    }
    output.document(&summary);
    Ok(())
}

async fn put_in_force(
    args: Use,
    api: &dyn Api,
    remote: &Remote,
    output: &Output,
) -> Result<(), Failure> {
    let operation = remote.operation()?;
    let current = api.current().await?;
    let preset: Arc<str> = args.name.into();
    output.line(&format!("preset {} -> {preset}", current.preset));
    let request = UsePreset { expected: current.version, operation, preset };
    let accepted = api.use_preset(request).await?;
    accepted::print(&accepted, output);
    output.document(&accepted);
    Ok(())
}

fn describe(preset: &Preset) -> String {
    let shares: Vec<String> =
        preset.shares.iter().map(|share| format!("{} {}", share.region, share.share)).collect();
    format!(
        "leases up to {} s, shift cap {} requests/s, shares {}",
        preset.lease_max.0 / 1000,
        preset.shift_cap,
        shares.join(", ")
    )
}
