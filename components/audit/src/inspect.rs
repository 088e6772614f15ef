use crate::draft::Item;
use crate::{
    Context, Draft, Entry, Field, Finding, Kind, Place, Rule, accounts, limits, routes, services,
};
use std::collections::HashSet;
use std::sync::Arc;

/// Everything that is wrong with `draft`, errors first and in the order of its entries. Takes time in
/// proportion to the entries, and to the product of different lists of regions.
pub fn inspect(draft: &Draft, context: &Context) -> Vec<Finding> {
    let mut findings = draft.findings.clone();
    routes::inspect(draft, context, &mut findings);
    services::inspect(draft, &mut findings);
    accounts::inspect(draft, context, &mut findings);
    limits::inspect(draft, &mut findings);
    if let Some(in_force) = &context.in_force {
        inspect_step(draft, in_force, &mut findings);
    }
    findings.sort_by_key(|finding| (finding.rule.severity(), finding.place.position));
    findings
}

/// What is wrong with replacing `in_force` by `draft`.
fn inspect_step(draft: &Draft, in_force: &Draft, findings: &mut Vec<Finding>) {
    let is_known =
        |draft: &Draft| !draft.unreadable().any(|place| place.field == Some(Field::Version));
    if draft.version <= in_force.version && is_known(draft) && is_known(in_force) {
        let place = Place::default().at(Field::Version);
        let problem = "the version is not greater than the one in force, so that VMs ignore it";
        findings.push(Finding::new(Rule::OldVersion, place, problem));
    }
    let is_open = draft.accounts.is_empty() && draft.is_complete(Kind::Account);
    if is_open && !in_force.accounts.is_empty() {
        let problem = format!("it removes all {} accounts", in_force.accounts.len());
        findings.push(Finding::new(Rule::OpenAccess, Place::default(), problem));
    }
}

/// Finds names that stand twice among entries of a kind.
pub fn find_repeated_names<Value>(entries: &[Entry<Value>], findings: &mut Vec<Finding>)
where
    Value: Item,
{
    let mut seen = HashSet::new();
    for entry in entries {
        let name = entry.value.name();
        if !name.is_empty() && !seen.insert(name) {
            let place = entry.place().at(Field::Name);
            let problem = "another entry of this kind has the same name";
            findings.push(Finding::new(Rule::RepeatedName, place, problem));
        }
    }
}

/// Finds regions that can't serve anything.
pub fn find_bad_regions(
    regions: &[Arc<str>],
    place: &Place,
    context: &Context,
    findings: &mut Vec<Finding>,
) {
    let Some(known) = &context.regions else {
        return;
    };
    for (number, region) in (1..).zip(regions) {
        let (rule, problem) = match known.get(region) {
            None => (Rule::UnknownRegion, format!("no VM is in region {number} of the list")),
            Some(0) => (Rule::EmptyRegion, format!("region `{region}` has no failure domain")),
            Some(_) => continue,
        };
        findings.push(Finding::new(rule, place.clone().at(Field::Regions), problem));
    }
}
