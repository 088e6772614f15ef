//! The check of a platform's configuration.

use super::{Args, input, report::Report};
use crate::failure::Failure;
use crate::output::Output;
use audit::{Context, Draft, inspect};
use errors::{Error, Kind};
use platform::{Overrides, Words, decode_draft, parse_settings};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use steering::cap::Tolerance;

/// Checks a configuration.
pub fn run(args: &Args, output: &Output) -> Result<(), Failure> {
    let report = check(args).map_err(Failure::Input)?;
    report.print(output);
    report.verdict(args.deny_warnings)
}

fn check(args: &Args) -> Result<Report, Error> {
    let draft = read_draft(&args.path)?;
    let in_force = args.against.as_deref().map(read_draft).transpose()?;
    let usage = args.usage.as_deref().map(read_usage).transpose()?.unwrap_or_default();
    let mut context = Context { in_force, usage, ..Context::default() };
    if let Some(path) = &args.vm_settings {
        read_settings(path, &mut context)?;
    }
    let findings = inspect(&draft, &context);
    Ok(Report::new(&args.path, &draft, &findings, context.in_force.as_ref(), &Words))
}

fn malformed(path: &Path, reason: &str) -> Error {
    Error::new(Kind::Malformed, format!("{}: {reason}", path.display()))
}

fn read_draft(path: &Path) -> Result<Draft, Error> {
    let text = input::read(path)?;
    decode_draft(text.as_bytes()).map_err(|reason| malformed(path, &reason))
}

fn read_usage(path: &Path) -> Result<BTreeMap<Arc<str>, f64>, Error> {
    let text = input::read(path)?;
    let usage: BTreeMap<Arc<str>, f64> = serde_json::from_str(&text).map_err(|cause| {
        let (line, column) = (cause.line(), cause.column());
        let reason = "it is no JSON object of accounts and requests a second";
        malformed(path, &format!("{reason}: line {line}, column {column}"))
    })?;
    match usage.values().all(|rate| *rate >= 0.0) {
        true => Ok(usage),
        false => Err(malformed(path, "requests a second must not be negative")),
    }
}

/// Takes the regions and the tolerance of usage caps from a VM's settings.
fn read_settings(path: &Path, context: &mut Context) -> Result<(), Error> {
    let text = input::read(path)?;
    let (settings, _) = parse_settings(&text, Overrides::default())
        .map_err(|error| malformed(path, &error.context))?;
    let mut regions = BTreeMap::from([(settings.region, 0)]);
    for region in settings.regions.into_values() {
        *regions.entry(region).or_default() += 1;
    }
    let caps = settings.bounds.caps;
    let tolerance =
        Tolerance { window: caps.window, overage: caps.overage, allowance: caps.allowance };
    (context.regions, context.tolerance) = (Some(regions), Some(tolerance));
    Ok(())
}
