//! Checks the sections of a deployment against each other.

use crate::document::Document;
use crate::findings::Findings;
use crate::read_deployment::LINK;
use crate::schema::{self, key_finding, sections};
use crate::{Deployment, Finding, Range, block};
use std::collections::HashSet;
use std::sync::Arc;

const MAX_REGIONS: usize = 64;

/// A range of blocks and the site that declares it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SiteRange<'a> {
    range: Range,
    site: &'a str,
}

/// The region names that a key may have, as findings state them.
pub fn region_names(deployment: &Deployment) -> String {
    let names: Vec<&str> = deployment.regions.iter().map(|region| &*region.name).collect();
    format!("one of {}", names.join(", "))
}

/// Whether the deployment has the region; true if it has none, since its file can't be read then.
pub fn has_region(deployment: &Deployment, name: &str) -> bool {
    let regions = &deployment.regions;
    regions.is_empty() || regions.iter().any(|region| &*region.name == name)
}

/// Reports contradictions between sections.
pub fn check(document: &Document, deployment: &Deployment, findings: &mut Findings) {
    check_counts(document, deployment, findings);
    if deployment.regions.len() > MAX_REGIONS {
        return;
    }
    check_domains(document, deployment, findings);
    check_links(document, deployment, findings);
    check_sites(document, deployment, findings);
    for service in deployment.services.iter().filter(|each| each.connections < each.slots) {
        let head = format!("service {}", service.name);
        findings.push(Finding {
            problem: format!("{} connections can't fill the slots", service.connections),
            allowed: format!("at least the slots, {}", service.slots),
            ..key_finding(document, &head, "connections")
        });
    }
    if !has_region(deployment, &deployment.store_region) && !deployment.store_region.is_empty() {
        let found = key_finding(document, "deployment", "store-region");
        findings.push(unknown_region(found, &deployment.store_region, deployment));
    }
}

fn check_counts(document: &Document, deployment: &Deployment, findings: &mut Findings) {
    let groups = [
        (deployment.regions.is_empty(), "[region NAME]"),
        (deployment.sites.is_empty(), "[site NAME]"),
        (deployment.services.is_empty(), "[service NAME]"),
    ];
    let absent = groups.iter().filter(|(is_absent, _)| *is_absent);
    findings.extend(absent.map(|(_, head)| schema::missing_section(document, head)));
    if deployment.regions.len() > MAX_REGIONS {
        findings.push(Finding {
            file: document.file.clone(),
            problem: format!("the file has {} regions", deployment.regions.len()),
            allowed: format!("at most {MAX_REGIONS}"),
            ..Finding::default()
        });
    }
}

fn check_domains(document: &Document, deployment: &Deployment, findings: &mut Findings) {
    let mut seen: HashSet<&Arc<str>> = HashSet::new();
    for region in &deployment.regions {
        for domain in &region.domains {
            if seen.contains(domain) {
                let head = format!("region {}", region.name);
                findings.push(Finding {
                    problem: format!("failure domain `{domain}` is in another region too"),
                    allowed: "each failure domain in one region".into(),
                    ..key_finding(document, &head, "domains")
                });
            }
        }
        seen.extend(&region.domains);
    }
}

fn check_links(document: &Document, deployment: &Deployment, findings: &mut Findings) {
    for section in sections(document, &LINK) {
        for name in section.names.iter().filter(|name| !has_region(deployment, name)) {
            let found = schema::section_finding(document, section);
            findings.push(unknown_region(found, name, deployment));
        }
        if section.names.first() == section.names.last() {
            findings.push(Finding {
                problem: "the link joins a region to itself".into(),
                allowed: "two regions".into(),
                ..schema::section_finding(document, section)
            });
        }
    }
    let names: Vec<&str> = deployment.regions.iter().map(|region| &*region.name).collect();
    for (index, from) in names.iter().enumerate() {
        let later = names[index + 1..].iter().filter(|to| *to != from);
        for to in later.filter(|to| !is_linked(deployment, from, to)) {
            findings.push(Finding {
                file: document.file.clone(),
                problem: format!("no link joins `{from}` and `{to}`"),
                allowed: format!("one [link {from} {to}] for each pair of regions"),
                ..Finding::default()
            });
        }
    }
}

fn is_linked(deployment: &Deployment, left: &str, right: &str) -> bool {
    let mut ends = deployment.links.iter().map(|link| (&*link.from, &*link.to));
    ends.any(|ends| ends == (left, right) || ends == (right, left))
}

fn check_sites(document: &Document, deployment: &Deployment, findings: &mut Findings) {
    let mut ranges: Vec<SiteRange<'_>> = Vec::new();
    for site in &deployment.sites {
        let head = format!("site {}", site.name);
        if !site.region.is_empty() && !has_region(deployment, &site.region) {
            let found = key_finding(document, &head, "region");
            findings.push(unknown_region(found, &site.region, deployment));
        }
        ranges
            .extend(site.blocks.iter().map(|range| SiteRange { range: *range, site: &site.name }));
    }
    check_overlaps(document, ranges, findings);
}

fn check_overlaps(document: &Document, mut ranges: Vec<SiteRange<'_>>, findings: &mut Findings) {
    ranges.sort();
    let mut furthest: Option<SiteRange<'_>> = None;
    for current in ranges {
        if let Some(earlier) = furthest.filter(|earlier| earlier.range.last >= current.range.first)
        {
            let (left, right) = (block::format(current.range), block::format(earlier.range));
            findings.push(Finding {
                problem: format!("`{left}` overlaps `{right}` of site `{}`", earlier.site),
                allowed: "each block at one site, once".into(),
                ..key_finding(document, &format!("site {}", current.site), "blocks")
            });
        }
        if furthest.is_none_or(|earlier| earlier.range.last < current.range.last) {
            furthest = Some(current);
        }
    }
}

fn unknown_region(found: Finding, name: &str, deployment: &Deployment) -> Finding {
    let problem = format!("region `{name}` is unknown");
    Finding { problem, allowed: region_names(deployment), ..found }
}
