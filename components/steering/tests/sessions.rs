//! Plays the sessions of shifts and overload against the decision logic in virtual time.

mod fleet;

use clock::Millis;
use fleet::Fleet;
use session::{Script, Step};
use std::error::Error;
use std::path::Path;

type Outcome<T> = Result<T, Box<dyn Error>>;

fn check(path: &Path) -> datatest_stable::Result<()> {
    session::check(path, play)?;
    Ok(())
}

fn play(script: &Script) -> Outcome<Vec<String>> {
    let mut fleet = Fleet::new();
    for step in &script.steps {
        fleet.run(step.at);
        apply(&mut fleet, step)?;
    }
    Ok(fleet.transcript())
}

fn apply(fleet: &mut Fleet, step: &Step) -> Outcome<()> {
    match step.verb.as_str() {
        "demand" => fleet.demand(option(step, "rate")?.parse()?),
        "shares" => fleet.shares(shares(option(step, "parts")?)?),
        "cap" => {
            let rate = option(step, "rate")?.parse()?;
            fleet.preset(|preset| preset.shift_cap = rate);
        }
        "planner" => match option(step, "state")? {
            "replaced" => fleet.replace_planner(),
            state => fleet.planner(is_on(state)?),
        },
        "reports" => fleet.reports(is_on(option(step, "state")?)?),
        "cut" => fleet.partition(option(step, "vm")?, true),
        "heal" => fleet.partition(option(step, "vm")?, false),
        "kill" => fleet.kill(option(step, "vm")?),
        "join" => fleet.join(),
        "region" => fleet.region(option(step, "name")?, is_on(option(step, "state")?)?),
        "drain" => {
            let start = Millis(option(step, "start")?.parse()?);
            let end = Millis(option(step, "end")?.parse()?);
            fleet.drain(option(step, "region")?, start, end);
        }
        "end" => {}
        verb => return Err(format!("unknown verb `{verb}`").into()),
    }
    Ok(())
}

fn option<'a>(step: &'a Step, key: &str) -> Outcome<&'a str> {
    step.option(key).ok_or_else(|| format!("step `{}` lacks the option `{key}`", step.verb).into())
}

fn shares(text: &str) -> Outcome<[f64; 3]> {
    let parts = text.split(',').map(str::parse).collect::<Result<Vec<f64>, _>>()?;
    parts.try_into().map_err(|_| "expected three shares, separated by commas".into())
}

fn is_on(state: &str) -> Outcome<bool> {
    match state {
        "running" | "up" => Ok(true),
        "stopped" | "down" => Ok(false),
        other => {
            Err(format!("unknown state `{other}`; expected running, up, stopped or down").into())
        }
    }
}

datatest_stable::harness! {
    { test = check, root = "../../tests/sessions/shift-cap", pattern = r"decide-[^/]*\.session$" },
    {
        test = check,
        root = "../../tests/sessions/region-overload",
        pattern = r"decide-[^/]*\.session$"
    },
}
