use crate::{Draft, Entry, Field, Kind, Vocabulary};
use serde::Serialize;
use std::collections::{HashMap, HashSet};
use std::fmt::{self, Display};
use std::sync::Arc;
use steering::account::Account;
use steering::routing::{Limits, Route, Service};

/// What differs from the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Difference {
    /// Entries and fields.
    pub changes: Vec<Change>,
    /// Accounts whose keys differ.
    pub keys: Vec<Keys>,
}

/// An entry that was added or removed, or one of its fields that has another value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Change {
    /// The kind of entry, as the file calls it.
    pub kind: &'static str,
    /// The entry's name; empty for limits.
    pub name: Arc<str>,
    /// The field, as the file calls it; empty for a whole entry.
    pub field: &'static str,
    /// The value in force; `None` for what is added.
    pub before: Option<String>,
    /// The value in the draft; `None` for what is removed.
    pub after: Option<String>,
}

/// The keys of an account that differ, of which nothing but the number is shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Keys {
    /// The account's name.
    pub account: Arc<str>,
    /// Keys in force that the draft doesn't have.
    pub withdrawn: usize,
    /// Keys of the draft that aren't in force.
    pub added: usize,
}

impl Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sign, value) = match (&self.before, &self.after) {
            (Some(before), Some(after)) => ('~', format!("{before} -> {after}")),
            (None, after) => ('+', after.clone().unwrap_or_default()),
            (Some(before), None) => ('-', before.clone()),
        };
        let parts = [self.kind, &self.name, self.field].into_iter();
        let parts: Vec<&str> = parts.filter(|part| !part.is_empty()).collect();
        write!(formatter, "{sign} {}: {value}", parts.join(" "))
    }
}

impl Display for Keys {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Keys { account, withdrawn, added } = self;
        write!(formatter, "~ keys of {account}: {withdrawn} withdrawn, {added} added")
    }
}

type Fields = Vec<(Field, String)>;

/// What `draft` changes. Entries are told apart by their names, those with one name by their order.
/// What couldn't be read on either side is left out.
pub fn compare(draft: &Draft, in_force: &Draft, words: &dyn Vocabulary) -> Difference {
    let mut difference = Difference { changes: Vec::new(), keys: keys(draft, in_force) };
    let unreadable = draft.unreadable().chain(in_force.unreadable());
    let unreadable: HashSet<_> =
        unreadable.map(|place| (place.kind, Arc::clone(&place.name))).collect();
    let is_readable =
        |(kind, name, _): &Key| !unreadable.contains(&(Some(*kind), Arc::clone(name)));
    let (mut old, mut new) = (entries(in_force, words), entries(draft, words));
    old.retain(|(key, _)| is_readable(key));
    new.retain(|(key, _)| is_readable(key));
    difference.keys.retain(|keys| is_readable(&(Kind::Account, Arc::clone(&keys.account), 0)));
    let olds: HashMap<_, _> = old.iter().map(|(key, fields)| (key, fields)).collect();
    let news: HashSet<_> = new.iter().map(|(key, _)| key).collect();
    let removed = old.iter().filter(|(key, _)| !news.contains(key));
    let whole = |(kind, name, _): &Key, before, after| {
        let (kind, name) = (words.kind(*kind), Arc::clone(name));
        Change { kind, name, field: "", before, after }
    };
    for (key, fields) in &new {
        let Some(before) = olds.get(key) else {
            difference.changes.push(whole(key, None, Some(summary(fields, words))));
            continue;
        };
        for ((field, after), (_, before)) in fields.iter().zip(before.iter()) {
            if before != after {
                let values = (Some(before.clone()), Some(after.clone()));
                let field = words.field(*field);
                difference.changes.push(Change { field, ..whole(key, values.0, values.1) });
            }
        }
    }
    for (key, fields) in removed {
        difference.changes.push(whole(key, Some(summary(fields, words)), None));
    }
    difference
}

/// An entry's kind and name, and how many entries of that name come before it.
type Key = (Kind, Arc<str>, usize);

fn entries(draft: &Draft, words: &dyn Vocabulary) -> Vec<(Key, Fields)> {
    let mut entries: Vec<(Kind, Arc<str>, Fields)> = Vec::new();
    for Entry { value, .. } in &draft.routes {
        entries.push((Kind::Route, Arc::clone(&value.name), route(value, words)));
    }
    for Entry { value, .. } in &draft.services {
        entries.push((Kind::Service, Arc::clone(&value.name), service(value)));
    }
    for Entry { value, .. } in &draft.accounts {
        entries.push((Kind::Account, Arc::clone(&value.name), account(value)));
    }
    if let Some(Entry { value, .. }) = draft.limits.last() {
        entries.push((Kind::Limits, "".into(), limits(value)));
    }
    let mut counts: HashMap<(Kind, Arc<str>), usize> = HashMap::new();
    let numbered = entries.into_iter().map(|(kind, name, fields)| {
        let count = counts.entry((kind, Arc::clone(&name))).or_default();
        *count += 1;
        ((kind, name, *count), fields)
    });
    numbered.collect()
}

fn summary(fields: &Fields, words: &dyn Vocabulary) -> String {
    let fields = fields.iter().map(|(field, value)| format!("{} = {value}", words.field(*field)));
    fields.collect::<Vec<_>>().join(", ")
}

fn route(route: &Route, words: &dyn Vocabulary) -> Fields {
    let targets = route.targets.iter();
    let targets: Vec<String> = match targets.len() {
        1 => targets.map(|target| target.service.to_string()).collect(),
        _ => targets
            .map(|target| format!("{} {}", target.service, words.weight(target.weight)))
            .collect(),
    };
    let timeout = route.timeout.map_or_else(|| "none".to_owned(), |timeout| timeout.to_string());
    vec![
        (Field::Host, route.host.to_string()),
        (Field::Prefix, route.prefix.to_string()),
        (Field::Effect, words.effect(route.effect).to_owned()),
        (Field::Timeout, timeout),
        (Field::Objective, route.objective.to_string()),
        (Field::Attempts, route.attempts.to_string()),
        (Field::Priority, route.priority.to_string()),
        (Field::Service, targets.join(", ")),
        (Field::Regions, regions(&route.regions)),
        (Field::Affinity, route.affinity.to_string()),
        (Field::Anonymous, route.anonymous.to_string()),
    ]
}

fn service(service: &Service) -> Fields {
    vec![
        (Field::HealthPath, service.health_path.to_string()),
        (Field::Connections, service.connections.to_string()),
        (Field::ColdSpan, service.cold_span.to_string()),
        (Field::ColdRate, service.cold_rate.to_string()),
    ]
}

fn account(account: &Account) -> Fields {
    let priority = account.priority.map_or_else(|| "none".to_owned(), |each| each.to_string());
    vec![
        (Field::Priority, priority),
        (Field::Rate, account.rate.to_string()),
        (Field::Burst, account.burst.to_string()),
        (Field::Regions, regions(&account.regions)),
    ]
}

fn limits(limits: &Limits) -> Fields {
    vec![
        (Field::HeadBytes, limits.head_bytes.to_string()),
        (Field::BodyBytes, limits.body_bytes.to_string()),
        (Field::HeadTimeout, limits.head_timeout.to_string()),
        (Field::IdleTimeout, limits.idle_timeout.to_string()),
    ]
}

/// Regions as a set, as their order means nothing.
fn regions(regions: &[Arc<str>]) -> String {
    let mut regions: Vec<&str> = regions.iter().map(AsRef::as_ref).collect();
    regions.sort_unstable();
    regions.dedup();
    if regions.is_empty() { "all".to_owned() } else { regions.join(", ") }
}

/// The accounts whose keys differ, those of the draft first.
fn keys(draft: &Draft, in_force: &Draft) -> Vec<Keys> {
    let (new, old) = (by_account(draft), by_account(in_force));
    let mut names: Vec<&Arc<str>> = new.keys().chain(old.keys()).copied().collect();
    names.sort_unstable();
    names.dedup();
    let difference = names.into_iter().map(|name| {
        let (new, old) = (new.get(name), old.get(name));
        let missing = |from: Option<&HashSet<_>>, other: Option<&HashSet<_>>| {
            let keys = from.into_iter().flatten();
            keys.filter(|key| !other.is_some_and(|other| other.contains(*key))).count()
        };
        Keys { account: Arc::clone(name), withdrawn: missing(old, new), added: missing(new, old) }
    });
    difference.filter(|keys| keys.withdrawn + keys.added > 0).collect()
}

fn by_account(draft: &Draft) -> HashMap<&Arc<str>, HashSet<steering::account::Digest>> {
    let mut keys: HashMap<_, HashSet<_>> = HashMap::new();
    for Entry { value, .. } in &draft.accounts {
        keys.entry(&value.name).or_default().extend(value.keys.iter().copied());
    }
    keys
}
