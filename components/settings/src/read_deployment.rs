//! Reads and checks `deployment.ini`.

use crate::document::{Document, Section};
use crate::findings::Findings;
use crate::reader::{Bounds, Reader, items};
use crate::schema::{self, Kind, sections};
use crate::unit::Unit;
use crate::{Class, Deployment, Link, Range, Region, Service, Site, block, check_deployment};
use clock::Millis;

/// `[deployment ...]`.
pub const DEPLOYMENT: Kind = Kind { keyword: "deployment", name_count: 0 };
/// `[region ...]`.
pub const REGION: Kind = Kind { keyword: "region", name_count: 1 };
/// `[link ...]`.
pub const LINK: Kind = Kind { keyword: "link", name_count: 2 };
/// `[site ...]`.
pub const SITE: Kind = Kind { keyword: "site", name_count: 1 };
/// `[service ...]`.
pub const SERVICE: Kind = Kind { keyword: "service", name_count: 1 };

const DELAY: Bounds = Bounds::new(Unit::Time, 0, 10_000);
const ENTRIES: Bounds = Bounds::new(Unit::Count, 1, 10_000);
const REGION_CAPACITY: Bounds = Bounds::new(Unit::Rate, 1, 10_000_000);
const LINK_CAPACITY: Bounds = Bounds::new(Unit::Bandwidth, 1, 1_000_000);
const SERVERS: Bounds = Bounds::new(Unit::Count, 1, 100_000);
const SLOTS: Bounds = Bounds::new(Unit::Count, 1, 10_000);
const CONNECTIONS: Bounds = Bounds::new(Unit::Count, 1, 1_000_000);
const CONNECT: Bounds = Bounds::new(Unit::Time, 0, 10_000);
const DEADLINE: Bounds = Bounds::new(Unit::Time, 1, 3_600_000);

const DEFAULT_CONNECT: Millis = Millis(1);
const DEFAULT_SHORT_DEADLINE: Millis = Millis::from_secs(5);
const DEFAULT_LONG_DEADLINE: Millis = Millis::from_secs(300);

/// Reads a deployment.
pub fn read(document: &Document, findings: &mut Findings) -> Deployment {
    schema::check(document, &[DEPLOYMENT, REGION, LINK, SITE, SERVICE], findings);
    let regions: Vec<Region> = sections(document, &REGION)
        .map(|section| read_region(document, section, findings))
        .collect();
    let links =
        sections(document, &LINK).map(|section| read_link(document, section, findings)).collect();
    let sites = sections(document, &SITE).map(|each| read_site(document, each, findings)).collect();
    let services = sections(document, &SERVICE)
        .map(|section| read_service(document, section, findings))
        .collect();
    let mut deployment = read_head(document, findings);
    deployment.regions = regions;
    deployment.links = links;
    deployment.sites = sites;
    deployment.services = services;
    check_deployment::check(document, &deployment, findings);
    deployment
}

/// An empty placeholder for a deployment that can't be read.
pub fn empty() -> Deployment {
    Deployment {
        name: "".into(),
        store_region: "".into(),
        domain_delay: Millis::ZERO,
        entries: 0,
        regions: Vec::new(),
        links: Vec::new(),
        sites: Vec::new(),
        services: Vec::new(),
    }
}

fn read_head(document: &Document, findings: &mut Findings) -> Deployment {
    let mut deployment = empty();
    let Some(section) = sections(document, &DEPLOYMENT).next() else {
        findings.push(schema::missing_section(document, "[deployment]"));
        return deployment;
    };
    let mut reader = Reader::new(&document.file, section, findings);
    deployment.name = reader.name_of("name");
    deployment.store_region = reader.name_of("store-region");
    deployment.domain_delay = Millis(reader.number("domain-delay", DELAY));
    deployment.entries = count(reader.number("entries", ENTRIES));
    reader.finish();
    deployment
}

fn read_region(document: &Document, section: &Section, findings: &mut Findings) -> Region {
    let mut reader = Reader::new(&document.file, section, findings);
    let region = Region {
        name: reader.section_name(),
        domains: reader.names("domains"),
        capacity: count(reader.number("capacity", REGION_CAPACITY)),
    };
    reader.finish();
    region
}

fn read_link(document: &Document, section: &Section, findings: &mut Findings) -> Link {
    let mut reader = Reader::new(&document.file, section, findings);
    let link = Link {
        from: reader.section_name(),
        to: section.names.last().map(String::as_str).unwrap_or_default().into(),
        capacity_mbit: count(reader.number("capacity", LINK_CAPACITY)),
        delay: Millis(reader.number("delay", DELAY)),
    };
    reader.finish();
    link
}

fn read_site(document: &Document, section: &Section, findings: &mut Findings) -> Site {
    let mut reader = Reader::new(&document.file, section, findings);
    let name = reader.section_name();
    let region = reader.name_of("region");
    let delay = Millis(reader.number("delay", DELAY));
    let entry = reader.required("blocks", block::ALLOWED);
    reader.check_not_empty("blocks", entry);
    let mut blocks: Vec<Range> = Vec::new();
    for text in items(entry) {
        match block::parse(text) {
            Ok(range) => blocks.push(range),
            Err(problem) => {
                let line = entry.map(|entry| entry.line).unwrap_or_default();
                reader.report(line, "blocks", problem, block::ALLOWED);
            }
        }
    }
    reader.finish();
    blocks.sort();
    Site { name, region, delay, blocks }
}

fn read_service(document: &Document, section: &Section, findings: &mut Findings) -> Service {
    let mut reader = Reader::new(&document.file, section, findings);
    let class = read_class(&mut reader);
    let default = match class {
        Class::Short => DEFAULT_SHORT_DEADLINE,
        Class::Long => DEFAULT_LONG_DEADLINE,
    };
    let service = Service {
        name: reader.section_name(),
        class,
        servers: count(reader.number("servers", SERVERS)),
        slots: count(reader.number("slots", SLOTS)),
        connections: count(reader.number("connections", CONNECTIONS)),
        connect: Millis(reader.number_or("connect", CONNECT, DEFAULT_CONNECT.0)),
        deadline: Millis(reader.number_or("deadline", DEADLINE, default.0)),
    };
    reader.finish();
    service
}

fn read_class(reader: &mut Reader<'_>) -> Class {
    const ALLOWED: &str = "short or long";
    let Some(entry) = reader.required("class", ALLOWED) else {
        return Class::Short;
    };
    match entry.value.as_str() {
        "short" => Class::Short,
        "long" => Class::Long,
        other => {
            reader.report(entry.line, "class", format!("`{other}` isn't a class"), ALLOWED);
            Class::Short
        }
    }
}

/// Converts a count; the keys' bounds keep it below `u32::MAX`.
fn count(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
