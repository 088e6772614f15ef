use crate::inspect::{find_bad_regions, find_repeated_names};
use crate::{Context, Draft, Entry, Field, Finding, Kind, Place, Rule};
use clock::Millis;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use steering::routing::{Effect, Route};

/// What is wrong with the routes.
pub fn inspect(draft: &Draft, context: &Context, findings: &mut Vec<Finding>) {
    if draft.routes.is_empty() && draft.is_complete(Kind::Route) {
        let problem = "there is no route, so that each request gets 404";
        findings.push(Finding::new(Rule::NoRoutes, Place::default(), problem));
    }
    find_repeated_names(&draft.routes, findings);
    let readable = draft.services.iter().map(|entry| &entry.value.name);
    let unreadable = draft.unreadable().filter(|place| place.kind == Some(Kind::Service));
    let services: HashSet<_> = readable.chain(unreadable.map(|place| &place.name)).collect();
    let mut first: HashMap<(String, &str), &Arc<str>> = HashMap::new();
    for entry in &draft.routes {
        let route = &entry.value;
        inspect_match(entry, findings);
        let key = (route.host.to_ascii_lowercase(), route.prefix.as_ref());
        if let Some(name) = first.get(&key) {
            let problem = format!("route `{name}` has the same host and prefix and comes first");
            let place = entry.place().at(Field::Prefix);
            findings.push(Finding::new(Rule::ShadowedRoute, place, problem));
        } else {
            first.insert(key, &route.name);
        }
        inspect_targets(entry, &services, findings);
        inspect_times(entry, findings);
        find_bad_regions(&route.regions, &entry.place(), context, findings);
        if route.anonymous && draft.accounts.is_empty() && draft.is_complete(Kind::Account) {
            let place = entry.place().at(Field::Anonymous);
            let problem = "without accounts, no request needs a key";
            findings.push(Finding::new(Rule::UselessAnonymous, place, problem));
        }
    }
}

/// What is wrong with a route's host and prefix, which are not quoted: they may be a key.
fn inspect_match(entry: &Entry<Route>, findings: &mut Vec<Finding>) {
    let (host, prefix) = (&entry.value.host, &entry.value.prefix);
    let is_host = |c: char| c.is_ascii_graphic() && !":/?#@*".contains(c);
    if host.is_empty() || !host.chars().all(is_host) {
        let problem = "no request has such a host";
        findings.push(Finding::new(Rule::UnmatchableHost, entry.place().at(Field::Host), problem));
    }
    let is_path = |c: char| c.is_ascii_graphic() && !"?#".contains(c);
    let is_closed = prefix.starts_with('/') && prefix.ends_with('/');
    if !is_closed || prefix.contains("//") || !prefix.chars().all(is_path) {
        let problem = "the prefix is no sequence of whole segments";
        findings.push(Finding::new(Rule::BadPrefix, entry.place().at(Field::Prefix), problem));
    }
}

/// What is wrong with the services that get a route's requests.
fn inspect_targets(
    entry: &Entry<Route>,
    services: &HashSet<&Arc<str>>,
    findings: &mut Vec<Finding>,
) {
    let targets = &entry.value.targets;
    // A single service has weight 1, the parts of a split have multiples of that.
    let is_split = targets.len() > 1 || targets.iter().any(|target| target.weight != 1);
    let field = if is_split { Field::Split } else { Field::Service };
    let mut push = |rule, problem: String| {
        findings.push(Finding::new(rule, entry.place().at(field), problem));
    };
    if targets.is_empty() {
        push(Rule::NoService, "the route has no service".into());
        return;
    }
    let mut seen = HashSet::new();
    // A key may stand where a service belongs, so that no name is quoted.
    for (number, target) in (1..).zip(targets) {
        if !seen.insert(&target.service) {
            let problem = format!("part {number} of the split repeats the service of another part");
            push(Rule::RepeatedService, problem);
        } else if !services.contains(&target.service) {
            let problem = match is_split {
                true => format!("part {number} of the split names no service of the configuration"),
                false => "it names no service of the configuration".into(),
            };
            push(Rule::UnknownService, problem);
        }
    }
    if targets.iter().all(|target| target.weight == 0) {
        push(Rule::NoWeight, "the weights sum to 0".into());
    }
}

/// What is wrong with a route's times and attempts.
fn inspect_times(entry: &Entry<Route>, findings: &mut Vec<Finding>) {
    let Route { timeout, objective, attempts, effect, .. } = &entry.value;
    let mut push = |rule, field, problem: String| {
        findings.push(Finding::new(rule, entry.place().at(field), problem));
    };
    if *attempts == 0 {
        push(Rule::NoAttempts, Field::Attempts, "no request may be sent".into());
    }
    if *objective == Millis(0) {
        push(Rule::NoTime, Field::Objective, "no response is in time".into());
    }
    let Some(timeout) = timeout else {
        return;
    };
    let needed = Millis(objective.0.saturating_mul(u64::from(*attempts)));
    if *timeout == Millis(0) {
        push(Rule::NoTime, Field::Timeout, "no response is in time".into());
    } else if timeout < objective {
        let problem = format!("the timeout {timeout} is below the latency objective {objective}");
        push(Rule::ObjectiveBeyondTimeout, Field::Timeout, problem);
    } else if *effect != Effect::Order && needed > *timeout {
        // Orders are sent again only after a refusal, which takes little time.
        let problem =
            format!("{attempts} attempts of {objective} take longer than the timeout {timeout}");
        push(Rule::AttemptsBeyondTimeout, Field::Attempts, problem);
    }
}
