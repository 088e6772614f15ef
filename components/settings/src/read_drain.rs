//! Reads and checks `drains.ini`.

use crate::document::{Document, Section};
use crate::findings::Findings;
use crate::reader::Reader;
use crate::schema::{self, Kind, sections};
use crate::{Deployment, Drain, Target, instant};
use clock::Millis;
use std::sync::Arc;

const DRAIN: Kind = Kind { keyword: "drain", name_count: 1 };
const TARGET_KEYS: [&str; 3] = ["vm", "domain", "region"];
const ONE_TARGET: &str = "exactly one of vm, domain, region";
const INSTANT: &str = "a point in time in UTC such as 2026-12-24T22:00:00Z";

/// Reads the drains and checks their targets against `deployment`.
pub fn read(document: &Document, deployment: &Deployment, findings: &mut Findings) -> Vec<Drain> {
    schema::check(document, &[DRAIN], findings);
    let mut drains = Vec::new();
    for section in sections(document, &DRAIN) {
        drains.extend(read_drain(document, section, deployment, findings));
    }
    drains
}

/// Describes what is wrong with `drain` under `deployment`; `None` if it is valid.
pub fn problem(drain: &Drain, deployment: &Deployment) -> Option<String> {
    if drain.end <= drain.start {
        return Some("the drain ends before it starts".into());
    }
    match &drain.target {
        Target::Vm(_) => None,
        Target::Domain(name) if deployment.regions.is_empty() || has_domain(deployment, name) => {
            None
        }
        Target::Domain(name) => Some(format!("failure domain `{name}` is unknown")),
        Target::Region(name) => {
            let known = deployment.regions.iter().any(|region| region.name == *name);
            let skip = known || deployment.regions.is_empty();
            (!skip).then(|| format!("region `{name}` is unknown"))
        }
    }
}

fn read_drain(
    document: &Document,
    section: &Section,
    deployment: &Deployment,
    findings: &mut Findings,
) -> Option<Drain> {
    let mut reader = Reader::new(&document.file, section, findings);
    let name = reader.section_name();
    let target = read_target(&mut reader, section);
    let start = read_instant(&mut reader, "start");
    let end = read_instant(&mut reader, "end");
    let drain = match (target, start, end) {
        (Some(target), Some(start), Some(end)) => Some(Drain { name, target, start, end }),
        _ => None,
    };
    if let Some(problem) = drain.as_ref().and_then(|drain| problem(drain, deployment)) {
        let ends_before_start = drain.as_ref().is_some_and(|drain| drain.end <= drain.start);
        let key = if ends_before_start { "end" } else { target_key(section) };
        let allowed = match key {
            "end" => "a point in time after start".into(),
            _ => known_targets(deployment),
        };
        let entry = section.entries.iter().find(|entry| entry.key == key);
        reader.report(entry.map_or(section.line, |entry| entry.line), key, problem, &allowed);
    }
    reader.finish();
    drain
}

fn read_target(reader: &mut Reader<'_>, section: &Section) -> Option<Target> {
    let given: Vec<&str> =
        TARGET_KEYS.into_iter().filter(|key| reader.optional(key).is_some()).collect();
    let [key] = given.as_slice() else {
        let problem = format!("the drain has {} targets", given.len());
        reader.report(section.line, "", problem, ONE_TARGET);
        return None;
    };
    let name: Arc<str> = reader.name_of(key);
    Some(match *key {
        "vm" => Target::Vm(name),
        "domain" => Target::Domain(name),
        _ => Target::Region(name),
    })
}

fn read_instant(reader: &mut Reader<'_>, key: &str) -> Option<Millis> {
    let entry = reader.required(key, INSTANT)?;
    let parsed = instant::parse(&entry.value);
    if parsed.is_none() {
        let problem = format!("`{}` isn't a point in time", entry.value);
        reader.report(entry.line, key, problem, INSTANT);
    }
    parsed
}

fn target_key(section: &Section) -> &str {
    let entry = section.entries.iter().find(|entry| TARGET_KEYS.contains(&entry.key.as_str()));
    entry.map(|entry| entry.key.as_str()).unwrap_or_default()
}

fn has_domain(deployment: &Deployment, name: &str) -> bool {
    deployment.regions.iter().any(|region| region.domains.iter().any(|each| &**each == name))
}

fn known_targets(deployment: &Deployment) -> String {
    let mut names: Vec<&str> = Vec::new();
    for region in &deployment.regions {
        names.push(&region.name);
        names.extend(region.domains.iter().map(|domain| &**domain));
    }
    format!("a region or failure domain of the deployment: {}", names.join(", "))
}
