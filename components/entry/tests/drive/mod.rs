//! Runs the steps of a session file in a simulated world and returns the transcript.

mod bursts;
mod leaving_history;

use leaving_history::LeavingHistory;

use crate::world::{Call, START, Setup, World};
use clock::Millis;
use entry::fake::Mode;
use session::{Script, Step};
use settings::{Class, Drain, Target};
use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use steering::State;
use upstream::fake::{Fault, Run};
use upstream::load::Load;

const SETUP: Setup = Setup {
    poll_interval: Millis::from_secs(1),
    tick_interval: Millis(100),
    services: &[("manuals", Class::Long), ("orders", Class::Short), ("status", Class::Short)],
    upstreams: 12,
};
const SETTLE_TIME: Millis = Millis::from_secs(60);
/// The time after which a leaving upstream must get no new work.
const DRAIN_DELAY_MAX: Millis = Millis::from_secs(3);
const WARM_UP_PREFIX: &str = "warm-";
const WARM_UP_REQUESTS: u32 = 30;
const WARM_UP_INTERVAL: Millis = Millis(20);
const DEFAULT_PATH: &str = "/place";

/// Order prefixes by their name in the session.
type Prefixes = BTreeMap<String, Arc<str>>;

pub fn run(script: &Script) -> Result<Vec<String>, Box<dyn Error>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    runtime.block_on(run_script(script))
}

async fn run_script(script: &Script) -> Result<Vec<String>, Box<dyn Error>> {
    let mut world = World::new(&SETUP).await;
    let mut prefixes = Prefixes::new();
    let mut leaving_history = LeavingHistory::default();
    for step in &script.steps {
        world.clock.sleep_until(START + step.at).await;
        if step.verb == "warm" {
            warm_up(&mut world, step).await?;
            continue;
        }
        if step.verb == "drain" {
            let drain = drain(step)?;
            let drained = world.plan_drain(drain.clone());
            leaving_history.record_drain(&drained, &drain);
            continue;
        }
        leaving_history.record_step(&world, step);
        apply_step(&mut world, &mut prefixes, step)?;
    }
    world.clock.sleep(SETTLE_TIME).await;
    world.check()?;
    let mut lines = world.transcript.lines();
    lines.extend(execution_lines(&world, &leaving_history)?);
    lines.retain(|line| !line.contains(WARM_UP_PREFIX));
    Ok(bursts::summarize(lines))
}

// Sends requests from which the entry VM learns the typical latency. The transcript omits them.
async fn warm_up(world: &mut World, step: &Step) -> Result<(), Box<dyn Error>> {
    for number in 0..WARM_UP_REQUESTS {
        let name = format!("{WARM_UP_PREFIX}{number}");
        let call = Call { name, order: None, ..call(&Prefixes::new(), step)? };
        world.send(call);
        world.clock.sleep(WARM_UP_INTERVAL).await;
    }
    Ok(())
}

// Lists what the upstreams executed, regardless of what the entry VMs responded. The lines omit the
// upstreams' names, since these sessions do not test the choice among them.
fn execution_lines(
    world: &World,
    leaving_history: &LeavingHistory,
) -> Result<Vec<String>, Box<dyn Error>> {
    let mut executions = world.fleet.runs();
    executions.sort_by(|one, other| (one.at, &one.request).cmp(&(other.at, &other.request)));
    executions.iter().map(|run| execution_line(run, leaving_history)).collect()
}

fn execution_line(run: &Run, leaving_history: &LeavingHistory) -> Result<String, Box<dyn Error>> {
    let order = run.order.rsplit('~').next().unwrap_or_default();
    let mut line = format!("ran at {}: {} {order}", run.at - START, run.request);
    if let Some(since) = leaving_history.leaving_since(&run.upstream, run.at) {
        let span = run.at - since;
        if span > DRAIN_DELAY_MAX {
            return Err(format!("{line}: {} left {span} before", run.upstream).into());
        }
        line += &format!("(left {span} before)");
    }
    Ok(line.trim_end().into())
}

fn apply_step(
    world: &mut World,
    prefixes: &mut Prefixes,
    step: &Step,
) -> Result<(), Box<dyn Error>> {
    match step.verb.as_str() {
        "order" | "get" => {
            let call = call(prefixes, step)?;
            world.send(call);
        }
        "burst" => {
            let call = call(prefixes, step)?;
            for index in 0..number(step, "count")? {
                world.send(Call { name: bursts::request_name(&call.name, index), ..call.clone() });
            }
        }
        "gone" => world.calls[first_word(step)?].abort(),
        "prefix" => prefix(world, prefixes, step)?,
        "start" => world.start(first_word(step)?, number(step, "incarnation")?),
        "stop" => world.stop(first_word(step)?),
        "kill" => world.set_mode(first_word(step)?, Mode::Killed),
        "freeze" => world.set_mode(first_word(step)?, Mode::Paused),
        "thaw" => world.set_mode(first_word(step)?, Mode::Running),
        "suspect" => world.set_vm_state(first_word(step)?, State::Suspect),
        "live" => world.set_vm_state(first_word(step)?, State::Live),
        "platform" => platform(world, step)?,
        "relays" => relays(world, step)?,
        "fault" => fault(world, step)?,
        "upstream" => upstream(world, step)?,
        verb => return Err(format!("unknown step {verb}").into()),
    }
    Ok(())
}

fn call(prefixes: &Prefixes, step: &Step) -> Result<Call, Box<dyn Error>> {
    let service = step.option("service").unwrap_or("orders");
    Ok(Call {
        name: first_word(step)?.into(),
        via: step.option("via").ok_or("the option `via` is missing")?.into(),
        service: service.into(),
        path: step.option("path").unwrap_or(DEFAULT_PATH).into(),
        block: block(step)?,
        order: step.option("id").map(|id| order_id(prefixes, id)),
        budget: step.option("budget").map(str::parse).transpose()?.map(Millis),
    })
}

// `name/rest` stands for the prefix that was stored as `name`, followed by `rest`.
fn order_id(prefixes: &Prefixes, id: &str) -> Arc<str> {
    match id.split_once('/') {
        Some((name, rest)) => format!("{}~{rest}", prefixes[name]).into(),
        None => id.into(),
    }
}

fn prefix(world: &World, prefixes: &mut Prefixes, step: &Step) -> Result<(), Box<dyn Error>> {
    let via = step.option("via").ok_or("the option `via` is missing")?;
    let prefix = world.prefix(via, block(step)?)?;
    prefixes.insert(first_word(step)?.into(), prefix);
    Ok(())
}

fn platform(world: &World, step: &Step) -> Result<(), Box<dyn Error>> {
    use store::fake::Fault;
    let fault = match first_word(step)? {
        "down" => Fault::TableDown,
        "slow" => Fault::Slow(Millis(number(step, "ms")?)),
        "lose-answers" => Fault::LoseAnswers(number(step, "count")? as u32),
        "lose-requests" => Fault::LoseRequests(number(step, "count")? as u32),
        "cut" => Fault::Cut(step.option("from").ok_or("the option `from` is missing")?.into()),
        "mend" => {
            world.platform.clear_faults();
            return Ok(());
        }
        other => return Err(format!("unknown platform fault {other}").into()),
    };
    world.platform.inject(fault);
    Ok(())
}

fn relays(world: &World, step: &Step) -> Result<(), Box<dyn Error>> {
    match first_word(step)? {
        "cut" => world.relays.set_partitioned(true),
        "mend" => world.relays.set_partitioned(false),
        "lose-outcomes" => world.relays.drop_outcomes(number(step, "count")? as u32),
        other => return Err(format!("unknown relay fault {other}").into()),
    }
    Ok(())
}

fn fault(world: &World, step: &Step) -> Result<(), Box<dyn Error>> {
    let name = step.words.get(1).ok_or("the name of a fault is missing")?;
    let fault = Fault::parse(name).ok_or_else(|| format!("unknown fault {name}"))?;
    match first_word(step)? {
        "next" => world.fleet.inject(fault),
        name => fake_upstreams(world, name).iter().for_each(|upstream| upstream.inject(fault)),
    }
    Ok(())
}

fn upstream(world: &mut World, step: &Step) -> Result<(), Box<dyn Error>> {
    let name = first_word(step)?;
    let change = step.words.get(1).ok_or("the name of a change is missing")?;
    match change.as_str() {
        "down" => fake_upstreams(world, name).iter().for_each(|upstream| upstream.set_down(true)),
        "up" => fake_upstreams(world, name).iter().for_each(|upstream| upstream.set_down(false)),
        "leaving" => {
            fake_upstreams(world, name).iter().for_each(|upstream| upstream.set_leaving(true))
        }
        "staying" => {
            fake_upstreams(world, name).iter().for_each(|upstream| upstream.set_leaving(false))
        }
        "lying" => {
            let idle = Some(Load::default());
            fake_upstreams(world, name).iter().for_each(|upstream| upstream.set_reported(idle));
        }
        "listed-leaving" => world.set_upstream_state(name, State::Leaving),
        "listed-live" => world.set_upstream_state(name, State::Live),
        "service" => {
            let span = Millis(number(step, "ms")?);
            fake_upstreams(world, name).iter().for_each(|upstream| upstream.set_service_time(span));
        }
        other => return Err(format!("unknown upstream change {other}").into()),
    }
    Ok(())
}

fn drain(step: &Step) -> Result<Drain, Box<dyn Error>> {
    let target = match (step.option("vm"), step.option("domain")) {
        (Some(name), None) => Target::Vm(name.into()),
        (None, Some(name)) => Target::Domain(name.into()),
        _ => return Err("a drain needs either `vm` or `domain`".into()),
    };
    let (start, end) = (Millis(number(step, "start")?), Millis(number(step, "end")?));
    let (start, end) = (START + start, START + end);
    Ok(Drain { name: first_word(step)?.into(), target, start, end })
}

// A name such as `o*` stands for every upstream of the service.
fn fake_upstreams(world: &World, name: &str) -> Vec<Arc<upstream::fake::Server>> {
    match name.strip_suffix('*') {
        Some(first) => {
            (1..=12).map(|number| world.fake_upstream(&format!("{first}{number}"))).collect()
        }
        None => vec![world.fake_upstream(name)],
    }
}

// Sites have four blocks each, so the blocks 0, 8 and 16 are in three regions.
fn block(step: &Step) -> Result<u32, Box<dyn Error>> {
    Ok(step.option("block").map(str::parse).transpose()?.unwrap_or_default())
}

fn first_word(step: &Step) -> Result<&str, Box<dyn Error>> {
    let missing = || format!("{} needs a name", step.verb);
    Ok(step.words.first().ok_or_else(missing)?)
}

fn number(step: &Step, key: &str) -> Result<u64, Box<dyn Error>> {
    let missing = || format!("{} needs the option `{key}`", step.verb);
    Ok(step.option(key).ok_or_else(missing)?.parse()?)
}
