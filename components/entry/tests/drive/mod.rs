//! Reads the steps of a session and takes them in a world.

mod departures;
mod summary;

use departures::Departures;

use crate::world::{Ask, START, Setup, World};
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
    poll: Millis::from_secs(1),
    tick: Millis(100),
    services: &[("manuals", Class::Long), ("orders", Class::Short), ("status", Class::Short)],
    upstreams: 12,
};
const SETTLE: Millis = Millis::from_secs(60);
/// An upstream that leaves gets no new work after this.
const DRAIN_MOST: Millis = Millis::from_secs(3);
const WARM: &str = "warm-";
const WARM_REQUESTS: u32 = 30;
const WARM_GAP: Millis = Millis(20);
const PATH: &str = "/place";

/// Order prefixes by the name that a session gives them.
type Prefixes = BTreeMap<String, Arc<str>>;

pub fn run(script: &Script) -> Result<Vec<String>, Box<dyn Error>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build()?;
    runtime.block_on(play(script))
}

async fn play(script: &Script) -> Result<Vec<String>, Box<dyn Error>> {
    let mut world = World::new(&SETUP).await;
    let mut prefixes = Prefixes::new();
    let mut departures = Departures::default();
    for step in &script.steps {
        world.clock.sleep_until(START + step.at).await;
        if step.verb == "warm" {
            warm(&mut world, step).await?;
            continue;
        }
        if step.verb == "drain" {
            let drain = drain(step)?;
            let drained = world.plan_drain(drain.clone());
            departures.note_drain(&drained, &drain);
            continue;
        }
        departures.note(&world, step);
        take(&mut world, &mut prefixes, step)?;
    }
    world.clock.sleep(SETTLE).await;
    world.check()?;
    let mut lines = world.transcript.lines();
    lines.extend(ran(&world, &departures)?);
    lines.retain(|line| !line.contains(WARM));
    Ok(summary::fold_bursts(lines))
}

// Requests that only teach the entry VM what is usual; the transcript leaves them out.
async fn warm(world: &mut World, step: &Step) -> Result<(), Box<dyn Error>> {
    for number in 0..WARM_REQUESTS {
        let name = format!("{WARM}{number}");
        let ask = Ask { name, order: None, ..ask(&Prefixes::new(), step)? };
        world.ask(ask);
        world.clock.sleep(WARM_GAP).await;
    }
    Ok(())
}

// The list is the upstreams' own, so it shows what ran whatever the entry VMs answered. It names
// services and not upstreams, since the choice among them is another promise's matter.
fn ran(world: &World, departures: &Departures) -> Result<Vec<String>, Box<dyn Error>> {
    let mut runs = world.fleet.ran();
    runs.sort_by(|one, other| (one.at, &one.request).cmp(&(other.at, &other.request)));
    runs.iter().map(|run| line(run, departures)).collect()
}

fn line(run: &Run, departures: &Departures) -> Result<String, Box<dyn Error>> {
    let order = run.order.rsplit('~').next().unwrap_or_default();
    let mut line = format!("ran at {}: {} {order}", run.at - START, run.request);
    if let Some(since) = departures.since(&run.upstream, run.at) {
        let span = run.at - since;
        if span > DRAIN_MOST {
            return Err(format!("{line}: {} left {span} before", run.upstream).into());
        }
        line += &format!("(left {span} before)");
    }
    Ok(line.trim_end().into())
}

fn take(world: &mut World, prefixes: &mut Prefixes, step: &Step) -> Result<(), Box<dyn Error>> {
    match step.verb.as_str() {
        "order" | "get" => {
            let ask = ask(prefixes, step)?;
            world.ask(ask);
        }
        "burst" => {
            let one = ask(prefixes, step)?;
            for at in 0..number(step, "count")? {
                world.ask(Ask { name: summary::name(&one.name, at), ..one.clone() });
            }
        }
        "gone" => world.callers[word(step)?].abort(),
        "prefix" => prefix(world, prefixes, step)?,
        "start" => world.start(word(step)?, number(step, "incarnation")?),
        "stop" => world.stop(word(step)?),
        "kill" => world.set(word(step)?, Mode::Killed),
        "freeze" => world.set(word(step)?, Mode::Paused),
        "thaw" => world.set(word(step)?, Mode::Running),
        "suspect" => world.set_vm(word(step)?, State::Suspect),
        "live" => world.set_vm(word(step)?, State::Live),
        "platform" => platform(world, step)?,
        "relays" => relays(world, step)?,
        "fault" => fault(world, step)?,
        "upstream" => upstream(world, step)?,
        verb => return Err(format!("unknown step {verb}").into()),
    }
    Ok(())
}

fn ask(prefixes: &Prefixes, step: &Step) -> Result<Ask, Box<dyn Error>> {
    let service = step.option("service").unwrap_or("orders");
    Ok(Ask {
        name: word(step)?.into(),
        via: step.option("via").ok_or("via is missing")?.into(),
        service: service.into(),
        path: step.option("path").unwrap_or(PATH).into(),
        block: block(step)?,
        order: step.option("id").map(|id| order_id(prefixes, id)),
        budget: step.option("budget").map(str::parse).transpose()?.map(Millis),
    })
}

// `name/rest` stands for the prefix that was kept as `name`, followed by `rest`.
fn order_id(prefixes: &Prefixes, id: &str) -> Arc<str> {
    match id.split_once('/') {
        Some((name, rest)) => format!("{}~{rest}", prefixes[name]).into(),
        None => id.into(),
    }
}

fn prefix(world: &World, prefixes: &mut Prefixes, step: &Step) -> Result<(), Box<dyn Error>> {
    let via = step.option("via").ok_or("via is missing")?;
    let prefix = world.prefix(via, block(step)?)?;
    prefixes.insert(word(step)?.into(), prefix);
    Ok(())
}

fn platform(world: &World, step: &Step) -> Result<(), Box<dyn Error>> {
    use store::fake::Fault;
    let fault = match word(step)? {
        "down" => Fault::TableDown,
        "slow" => Fault::Slow(Millis(number(step, "ms")?)),
        "lose-answers" => Fault::LoseAnswers(number(step, "count")? as u32),
        "lose-requests" => Fault::LoseRequests(number(step, "count")? as u32),
        "cut" => Fault::Cut(step.option("from").ok_or("from is missing")?.into()),
        "mend" => {
            world.platform.mend();
            return Ok(());
        }
        other => return Err(format!("unknown platform fault {other}").into()),
    };
    world.platform.inject(fault);
    Ok(())
}

fn relays(world: &World, step: &Step) -> Result<(), Box<dyn Error>> {
    match word(step)? {
        "cut" => world.relays.set_partitioned(true),
        "mend" => world.relays.set_partitioned(false),
        "lose-outcomes" => world.relays.drop_outcomes(number(step, "count")? as u32),
        other => return Err(format!("unknown relay fault {other}").into()),
    }
    Ok(())
}

fn fault(world: &World, step: &Step) -> Result<(), Box<dyn Error>> {
    let name = step.words.get(1).ok_or("a fault is missing")?;
    let fault = Fault::parse(name).ok_or_else(|| format!("unknown fault {name}"))?;
    match word(step)? {
        "next" => world.fleet.inject(fault),
        name => servers(world, name).iter().for_each(|server| server.inject(fault)),
    }
    Ok(())
}

fn upstream(world: &mut World, step: &Step) -> Result<(), Box<dyn Error>> {
    let name = word(step)?;
    let change = step.words.get(1).ok_or("a change is missing")?;
    match change.as_str() {
        "down" => servers(world, name).iter().for_each(|server| server.set_down(true)),
        "up" => servers(world, name).iter().for_each(|server| server.set_down(false)),
        "leaving" => servers(world, name).iter().for_each(|server| server.set_leaving(true)),
        "staying" => servers(world, name).iter().for_each(|server| server.set_leaving(false)),
        "lying" => {
            let idle = Some(Load::default());
            servers(world, name).iter().for_each(|server| server.set_reported(idle));
        }
        "listed-leaving" => world.set_upstream(name, State::Leaving),
        "listed-live" => world.set_upstream(name, State::Live),
        "service" => {
            let span = Millis(number(step, "ms")?);
            servers(world, name).iter().for_each(|server| server.set_service(span));
        }
        other => return Err(format!("unknown change {other}").into()),
    }
    Ok(())
}

fn drain(step: &Step) -> Result<Drain, Box<dyn Error>> {
    let target = match (step.option("vm"), step.option("domain")) {
        (Some(name), None) => Target::Vm(name.into()),
        (None, Some(name)) => Target::Domain(name.into()),
        _ => return Err("a drain has vm or domain".into()),
    };
    let (start, end) = (Millis(number(step, "start")?), Millis(number(step, "end")?));
    let (start, end) = (START + start, START + end);
    Ok(Drain { name: word(step)?.into(), target, start, end })
}

// `o*` stands for every upstream of the service.
fn servers(world: &World, name: &str) -> Vec<Arc<upstream::fake::Server>> {
    match name.strip_suffix('*') {
        Some(first) => (1..=12).map(|number| world.server(&format!("{first}{number}"))).collect(),
        None => vec![world.server(name)],
    }
}

// Sites have four blocks each, so 0, 8 and 16 come from three regions.
fn block(step: &Step) -> Result<u32, Box<dyn Error>> {
    Ok(step.option("block").map(str::parse).transpose()?.unwrap_or_default())
}

fn word(step: &Step) -> Result<&str, Box<dyn Error>> {
    let missing = || format!("{} needs a word", step.verb);
    Ok(step.words.first().ok_or_else(missing)?)
}

fn number(step: &Step, key: &str) -> Result<u64, Box<dyn Error>> {
    let missing = || format!("{} needs {key}", step.verb);
    Ok(step.option(key).ok_or_else(missing)?.parse()?)
}
