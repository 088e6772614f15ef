use crate::inspect::{find_bad_regions, find_repeated_names};
use crate::{Context, Draft, Entry, Field, Finding, Kind, Place, Rule};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use steering::account::{Account, Digest};
use steering::cap::{Limit, Tolerance};
use steering::routing::Route;

/// What is wrong with the client accounts.
pub fn inspect(draft: &Draft, context: &Context, findings: &mut Vec<Finding>) {
    find_repeated_names(&draft.accounts, findings);
    inspect_keys(&draft.accounts, findings);
    let areas = Areas::new(&draft.routes);
    for entry in &draft.accounts {
        find_bad_regions(&entry.value.regions, &entry.place(), context, findings);
        areas.inspect(entry, findings);
        inspect_cap(entry, context, findings);
    }
    let names: HashSet<_> = draft.accounts.iter().map(|entry| &entry.value.name).collect();
    for (name, usage) in &context.usage {
        if draft.is_complete(Kind::Account) && !names.contains(name) {
            let problem =
                format!("account `{name}` sends {usage} requests a second, and is missing");
            findings.push(Finding::new(Rule::UsageWithoutAccount, Place::default(), problem));
        }
    }
}

fn inspect_keys(accounts: &[Entry<Account>], findings: &mut Vec<Finding>) {
    let empty = Digest::of(b"");
    let mut owners: HashMap<Digest, usize> = HashMap::new();
    for (index, entry) in accounts.iter().enumerate() {
        let place = entry.place().at(Field::Keys);
        let mut push =
            |rule, problem: String| findings.push(Finding::new(rule, place.clone(), problem));
        if entry.value.keys.is_empty() {
            push(Rule::NoKeys, "the account has no key".into());
        }
        for (number, key) in entry.value.keys.iter().enumerate() {
            let number = number + 1;
            if *key == empty {
                push(Rule::EmptyKey, format!("key {number} is empty"));
                continue;
            }
            match owners.insert(*key, index) {
                Some(owner) if owner == index => {
                    push(Rule::RepeatedKey, format!("key {number} stands there twice"));
                }
                Some(owner) => {
                    let name = &accounts[owner].value.name;
                    push(Rule::SharedKey, format!("key {number} is also one of account `{name}`"));
                }
                None => {}
            }
        }
    }
}

fn inspect_cap(entry: &Entry<Account>, context: &Context, findings: &mut Vec<Finding>) {
    let account = &entry.value;
    let (rate, burst) = (account.rate, account.burst);
    let mut push = |rule, field, problem: String| {
        findings.push(Finding::new(rule, entry.place().at(field), problem));
    };
    if rate <= 0.0 {
        if burst > 0.0 {
            let problem = "without a rate there is no cap, and the burst is not read".into();
            push(Rule::BurstWithoutRate, Field::Burst, problem);
        }
        return;
    }
    let closed = context.tolerance.is_some_and(|tolerance| {
        Limit::new(account, tolerance).is_some_and(|limit| limit.burst < 1.0)
    });
    if closed {
        push(Rule::ClosedCap, Field::Burst, format!("with a burst of {burst} no request runs"));
    } else if burst < 1.0 {
        push(Rule::LowBurst, Field::Burst, format!("the burst {burst} is below one request"));
    }
    if let Some(Tolerance { window, overage, allowance }) = context.tolerance {
        let cap = rate * window.as_secs_f64() + burst;
        let excess = cap * overage + allowance;
        if excess > cap {
            let problem = format!(
                "up to {excess:.0} requests in {window} are tolerated beyond a cap of {cap:.0}"
            );
            push(Rule::LostInTolerance, Field::Rate, problem);
        }
    }
    if let Some(usage) = context.usage.get(&account.name).filter(|usage| **usage > rate) {
        let problem = format!("the account sends {usage} requests a second, the cap is {rate}");
        push(Rule::CapBelowUsage, Field::Rate, problem);
    }
}

/// The different sets of regions that routes are limited to.
struct Areas<'a> {
    /// Each set with the name of its first route, and the number of its routes.
    areas: HashMap<BTreeSet<&'a Arc<str>>, (&'a Arc<str>, usize)>,
    routes: usize,
}

impl<'a> Areas<'a> {
    fn new(routes: &'a [Entry<Route>]) -> Areas<'a> {
        let mut areas = HashMap::new();
        for Entry { value: route, .. } in routes {
            let area: BTreeSet<_> = route.regions.iter().collect();
            if !area.is_empty() {
                areas.entry(area).or_insert((&route.name, 0)).1 += 1;
            }
        }
        Areas { areas, routes: routes.len() }
    }

    /// Finds the routes that have no region in common with an account.
    fn inspect(&self, entry: &Entry<Account>, findings: &mut Vec<Finding>) {
        let regions: BTreeSet<_> = entry.value.regions.iter().collect();
        if regions.is_empty() {
            return;
        }
        let apart = self.areas.iter().filter(|(area, _)| area.is_disjoint(&regions));
        let apart: Vec<_> = apart.map(|(_, names)| *names).collect();
        let count: usize = apart.iter().map(|(_, count)| count).sum();
        let Some((name, _)) = apart.iter().min() else {
            return;
        };
        let (rule, problem) = if count == self.routes {
            (Rule::UnservedAccount, "no route allows one of the account's regions".into())
        } else {
            let others = match count {
                1 => String::new(),
                _ => format!(" and {} others", count - 1),
            };
            let problem = format!("route `{name}`{others} allows none of the account's regions");
            (Rule::DisjointRegions, problem)
        };
        findings.push(Finding::new(rule, entry.place().at(Field::Regions), problem));
    }
}
