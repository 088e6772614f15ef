//! `heatherbend status`.

use crate::cmd::accepted::installed;
use crate::cmd::drain;
use crate::failure::Failure;
use crate::output::Output;
use crate::remote::Remote;
use argh::FromArgs;
use operator::wire::{Outcome, Status, Vm};
use operator::{Api, Refusal};
use std::sync::Arc;

/// Show what is in force and how far it has spread; with --operation, how that operation ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Args {
    /// list every entry VM
    #[argh(switch)]
    vms: bool,
}

/// Shows the state of the fleet, or the outcome of an operation.
pub async fn run(args: &Args, remote: &Remote, output: &Output) -> Result<(), Failure> {
    let api = remote.connect()?;
    if remote.operation.is_some() {
        return print_outcome(api.as_ref(), remote.operation()?, output).await;
    }
    let status = api.status().await?;
    print(&status, output);
    if args.vms {
        for vm in &status.vms {
            output.line(&describe(vm));
        }
    }
    output.document(&status);
    Ok(())
}

fn print(status: &Status, output: &Output) {
    if status.version == 0 {
        output.line(&format!("{} has no declaration in force yet", status.vm));
    } else {
        let (version, preset) = (status.version, &status.preset);
        output.line(&format!("version {version}, preset {preset}, seen by {}", status.vm));
    }
    let plan = status.plan;
    output.line(&format!("plan {}.{}, shift {} % done", plan.epoch, plan.sequence, plan.progress));
    output.line(&format!("installed: {}", installed(&status.domains)));
    output.line(if status.platform { "platform: answers" } else { "platform: no answer" });
    for drain in &status.drains {
        output.line(&format!("drain {}", drain::describe(drain)));
    }
}

fn describe(vm: &Vm) -> String {
    let state = format!("{:?}", vm.state).to_lowercase();
    format!("{:<20} {:<16} {state:<8} version {}", vm.name, vm.domain, vm.version)
}

async fn print_outcome(api: &dyn Api, operation: Arc<str>, output: &Output) -> Result<(), Failure> {
    match api.outcome(Arc::clone(&operation)).await? {
        outcome @ Outcome::Committed { version } => {
            output.line(&format!("operation {operation} made version {version}"));
            output.document(&outcome);
            Ok(())
        }
        Outcome::NotRun => Err(Failure::NotCommitted(operation)),
        Outcome::Unknown => Err(Refusal::unknown(operation, "the platform can't tell now").into()),
    }
}
