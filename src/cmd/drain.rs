//! `heatherbend drain plan|list|cancel`.

use crate::cmd::accepted;
use crate::failure::Failure;
use crate::output::Output;
use crate::remote::Remote;
use argh::FromArgs;
use clock::{Clock, Millis};
use operator::Api;
use operator::wire::{Accepted, CancelDrain, PlanDrain};
use settings::{Drain, Target, drain_problem, instant, name};

/// Plan, list or cancel drains.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Args {
    #[argh(subcommand)]
    action: Action,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Action {
    Plan(Plan),
    List(List),
    Cancel(Cancel),
}

/// Plan a drain: leases end before it starts, and no new work arrives until it ends.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "plan",
    example = "heatherbend drain plan replace-e4 --vm e4 --end 2026-12-24T23:00:00Z"
)]
struct Plan {
    /// name of the drain
    #[argh(positional)]
    name: String,
    /// the VM to drain, entry or upstream
    #[argh(option)]
    vm: Option<String>,
    /// the failure domain to drain
    #[argh(option)]
    domain: Option<String>,
    /// the region to drain
    #[argh(option)]
    region: Option<String>,
    /// when it starts, such as 2026-12-24T22:00:00Z; now when left out
    #[argh(option)]
    start: Option<String>,
    /// when it ends
    #[argh(option)]
    end: String,
}

/// List the drains that are planned.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Cancel a planned drain, or end one that has started.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
struct Cancel {
    /// name of the drain
    #[argh(positional)]
    name: String,
}

/// Plans, lists or cancels drains.
pub async fn run(args: Args, remote: &Remote, output: &Output) -> Result<(), Failure> {
    match args.action {
        Action::Plan(plan) => {
            let drain = parse(plan)?;
            let accepted = send_plan(drain, remote).await?;
            print(&accepted, output);
        }
        Action::List(List {}) => list(remote.connect()?.as_ref(), output).await?,
        Action::Cancel(cancel) => {
            let accepted = send_cancel(cancel, remote).await?;
            print(&accepted, output);
        }
    }
    Ok(())
}

/// A drain as one line of text.
pub fn describe(drain: &Drain) -> String {
    let (kind, name) = match &drain.target {
        Target::Vm(name) => ("vm", name),
        Target::Domain(name) => ("domain", name),
        Target::Region(name) => ("region", name),
    };
    let (start, end) = (instant::format(drain.start), instant::format(drain.end));
    format!("{}: {kind} {name} from {start} to {end}", drain.name)
}

async fn send_plan(drain: Drain, remote: &Remote) -> Result<Accepted, Failure> {
    let operation = remote.operation()?;
    let api = remote.connect()?;
    let current = api.current().await?;
    if let Some(problem) = drain_problem(&drain, &current.declaration.deployment) {
        return Err(Failure::Usage(problem));
    }
    let request = PlanDrain { expected: current.version, operation, drain };
    Ok(api.plan_drain(request).await?)
}

async fn send_cancel(cancel: Cancel, remote: &Remote) -> Result<Accepted, Failure> {
    let operation = remote.operation()?;
    let api = remote.connect()?;
    let expected = api.current().await?.version;
    let request = CancelDrain { expected, operation, drain: cancel.name.into() };
    Ok(api.cancel_drain(request).await?)
}

async fn list(api: &dyn Api, output: &Output) -> Result<(), Failure> {
    let drains = api.current().await?.declaration.drains;
    if drains.is_empty() {
        output.line("no drains are planned");
    }
    for drain in &drains {
        output.line(&describe(drain));
    }
    output.document(&drains);
    Ok(())
}

fn print(accepted: &Accepted, output: &Output) {
    accepted::print(accepted, output);
    output.document(accepted);
}

fn parse(plan: Plan) -> Result<Drain, Failure> {
    let target = match (plan.vm, plan.domain, plan.region) {
        (Some(vm), None, None) => Target::Vm(parse_name(vm)?.into()),
        (None, Some(domain), None) => Target::Domain(parse_name(domain)?.into()),
        (None, None, Some(region)) => Target::Region(parse_name(region)?.into()),
        _ => return Err(Failure::Usage("give one of --vm, --domain, --region".into())),
    };
    let start = match plan.start {
        Some(text) => parse_instant(&text)?,
        None => Clock::system().now(),
    };
    let end = parse_instant(&plan.end)?;
    if end <= start {
        return Err(Failure::Usage("the drain ends before it starts".into()));
    }
    Ok(Drain { name: parse_name(plan.name)?.into(), target, start, end })
}

fn parse_name(text: String) -> Result<String, Failure> {
    if name::is_valid(&text) {
        return Ok(text);
    }
    Err(Failure::Usage(format!("`{text}` isn't a name; allowed: {}", name::ALLOWED)))
}

fn parse_instant(text: &str) -> Result<Millis, Failure> {
    instant::parse(text).ok_or_else(|| {
        Failure::Usage(format!(
            "`{text}` isn't a point in time; allowed: UTC such as 2026-12-24T22:00:00Z"
        ))
    })
}
