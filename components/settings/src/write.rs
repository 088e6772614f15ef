//! Writes a declaration as sections and keys, as INI text or to compare two declarations.

use crate::unit::{Unit, format_span};
use crate::{
    Class, Declaration, Deployment, Drain, Link, Preset, Region, Service, Site, Source, Target,
    block, instant,
};
use std::sync::Arc;

/// A section as it is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The head, without brackets.
    pub head: String,
    /// The keys, in the order in which they are written.
    pub pairs: Vec<Pair>,
}

/// A key and its value as they are written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value with its unit.
    pub value: String,
}

/// Formats a declaration as INI text, which parses to the same declaration.
pub fn write(declaration: &Declaration) -> Source {
    Source {
        deployment: text(&deployment(&declaration.deployment)),
        presets: text(&presets(&declaration.presets)),
        drains: text(&drains(&declaration.drains)),
    }
}

/// The sections of all three files of a declaration.
pub fn sections(declaration: &Declaration) -> Vec<Section> {
    let mut sections = deployment(&declaration.deployment);
    sections.extend(presets(&declaration.presets));
    sections.extend(drains(&declaration.drains));
    sections
}

fn text(sections: &[Section]) -> String {
    let mut text = String::new();
    for section in sections {
        text.push_str(&format!("[{}]\n", section.head));
        for pair in &section.pairs {
            text.push_str(&format!("{} = {}\n", pair.key, pair.value));
        }
        text.push('\n');
    }
    text
}

fn section(head: String, pairs: Vec<Pair>) -> Section {
    Section { head, pairs }
}

fn pair<K, V>(key: K, value: V) -> Pair
where
    K: Into<String>,
    V: ToString,
{
    Pair { key: key.into(), value: value.to_string() }
}

fn deployment(deployment: &Deployment) -> Vec<Section> {
    let head = vec![
        pair("name", &deployment.name),
        pair("store-region", &deployment.store_region),
        pair("domain-delay", format_span(deployment.domain_delay)),
        pair("entries", deployment.entries),
    ];
    let mut sections = vec![section("deployment".into(), head)];
    sections.extend(deployment.regions.iter().map(region));
    sections.extend(deployment.links.iter().map(link));
    sections.extend(deployment.sites.iter().map(site));
    sections.extend(deployment.services.iter().map(service));
    sections
}

fn region(region: &Region) -> Section {
    let pairs = vec![
        pair("domains", list(&region.domains)),
        pair("capacity", Unit::Rate.write(region.capacity.into())),
    ];
    section(format!("region {}", region.name), pairs)
}

fn link(link: &Link) -> Section {
    let pairs = vec![
        pair("capacity", Unit::Bandwidth.write(link.capacity_mbit.into())),
        pair("delay", format_span(link.delay)),
    ];
    section(format!("link {} {}", link.from, link.to), pairs)
}

fn site(site: &Site) -> Section {
    let blocks: Vec<String> = site.blocks.iter().map(|range| block::format(*range)).collect();
    let pairs = vec![
        pair("region", &site.region),
        pair("delay", format_span(site.delay)),
        pair("blocks", blocks.join(", ")),
    ];
    section(format!("site {}", site.name), pairs)
}

fn service(service: &Service) -> Section {
    let class = match service.class {
        Class::Short => "short",
        Class::Long => "long",
    };
    let pairs = vec![
        pair("class", class),
        pair("servers", service.servers),
        pair("slots", service.slots),
        pair("connections", service.connections),
        pair("connect", format_span(service.connect)),
        pair("deadline", format_span(service.deadline)),
    ];
    section(format!("service {}", service.name), pairs)
}

fn presets(presets: &[Preset]) -> Vec<Section> {
    presets.iter().map(preset).collect()
}

fn preset(preset: &Preset) -> Section {
    let mut pairs = vec![
        pair("lease-first", format_span(preset.lease_first)),
        pair("lease-max", format_span(preset.lease_max)),
        pair("lease-growth", preset.lease_growth),
        pair("shift-cap", Unit::Rate.write(preset.shift_cap.into())),
        pair("shift-step", format_span(preset.shift_step)),
        pair("headroom", preset.headroom),
        pair("hedge-budget", preset.hedge_budget),
        pair("long-share", preset.long_share),
    ];
    let shares = preset.shares.iter();
    pairs.extend(shares.map(|share| pair(format!("share.{}", share.region), share.share)));
    section(format!("preset {}", preset.name), pairs)
}

fn drains(drains: &[Drain]) -> Vec<Section> {
    drains.iter().map(drain).collect()
}

fn drain(drain: &Drain) -> Section {
    let target = match &drain.target {
        Target::Vm(name) => pair("vm", name),
        Target::Domain(name) => pair("domain", name),
        Target::Region(name) => pair("region", name),
    };
    let pairs = vec![
        target,
        pair("start", instant::format(drain.start)),
        pair("end", instant::format(drain.end)),
    ];
    section(format!("drain {}", drain.name), pairs)
}

fn list(names: &[Arc<str>]) -> String {
    names.join(", ")
}
