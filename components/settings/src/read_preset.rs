//! Reads and checks `presets.ini`.

use crate::check_deployment::{has_region, region_names};
use crate::document::{Document, Section};
use crate::findings::Findings;
use crate::reader::{Bounds, Reader};
use crate::schema::{self, Kind, key_finding, sections};
use crate::unit::{Unit, format_span};
use crate::{Deployment, Finding, ORDINARY, Preset, Share};
use clock::Millis;

const PRESET: Kind = Kind { keyword: "preset", name_count: 1 };

const LEASE: Bounds = Bounds::new(Unit::Time, 1_000, 86_400_000);
const LEASE_GROWTH: Bounds = Bounds::new(Unit::Count, 1, 16);
const SHIFT_CAP: Bounds = Bounds::new(Unit::Rate, 1, 10_000_000);
const SHIFT_STEP: Bounds = Bounds::new(Unit::Time, 1_000, 3_600_000);

const DEFAULT_LEASE_FIRST: Millis = Millis::from_secs(30);
const DEFAULT_LEASE_MAX: Millis = Millis::from_secs(300);
const DEFAULT_LEASE_GROWTH: u64 = 2;
const DEFAULT_SHIFT_STEP: Millis = Millis::from_secs(10);
const DEFAULT_HEADROOM: f64 = 0.8;
const DEFAULT_HEDGE_BUDGET: f64 = 0.05;
const DEFAULT_LONG_SHARE: f64 = 0.5;

const SHARE_PREFIX: &str = "share.";
const SHARE_SUM_TOLERANCE: f64 = 1e-9;

/// Reads the presets and checks their regions against `deployment`.
pub fn read(document: &Document, deployment: &Deployment, findings: &mut Findings) -> Vec<Preset> {
    schema::check(document, &[PRESET], findings);
    let presets: Vec<Preset> = sections(document, &PRESET)
        .map(|section| read_preset(document, section, deployment, findings))
        .collect();
    if !presets.iter().any(|preset| &*preset.name == ORDINARY) {
        findings.push(schema::missing_section(document, "[preset ordinary]"));
    }
    for preset in &presets {
        check(document, preset, deployment, findings);
    }
    presets
}

fn read_preset(
    document: &Document,
    section: &Section,
    deployment: &Deployment,
    findings: &mut Findings,
) -> Preset {
    let mut reader = Reader::new(&document.file, section, findings);
    let preset = Preset {
        name: reader.section_name(),
        lease_first: Millis(reader.number_or("lease-first", LEASE, DEFAULT_LEASE_FIRST.0)),
        lease_max: Millis(reader.number_or("lease-max", LEASE, DEFAULT_LEASE_MAX.0)),
        lease_growth: reader.number_or("lease-growth", LEASE_GROWTH, DEFAULT_LEASE_GROWTH) as u32,
        shift_cap: reader.number("shift-cap", SHIFT_CAP) as u32,
        shift_step: Millis(reader.number_or("shift-step", SHIFT_STEP, DEFAULT_SHIFT_STEP.0)),
        headroom: reader.fraction_or("headroom", false, DEFAULT_HEADROOM),
        hedge_budget: reader.fraction_or("hedge-budget", true, DEFAULT_HEDGE_BUDGET),
        long_share: reader.fraction_or("long-share", false, DEFAULT_LONG_SHARE),
        shares: read_shares(&mut reader, deployment),
    };
    reader.finish();
    preset
}

fn read_shares(reader: &mut Reader<'_>, deployment: &Deployment) -> Vec<Share> {
    let mut shares: Vec<Share> = Vec::new();
    for entry in reader.prefixed(SHARE_PREFIX) {
        let region = entry.key.trim_start_matches(SHARE_PREFIX);
        let share = reader.fraction(&entry.key, entry, true);
        if !has_region(deployment, region) {
            let problem = format!("region `{region}` is unknown");
            reader.report(entry.line, &entry.key, problem, &region_names(deployment));
        }
        if !shares.iter().any(|earlier| &*earlier.region == region) {
            shares.push(Share { region: region.into(), share });
        }
    }
    shares
}

fn check(document: &Document, preset: &Preset, deployment: &Deployment, findings: &mut Findings) {
    let head = format!("preset {}", preset.name);
    if preset.lease_max < preset.lease_first {
        findings.push(Finding {
            problem: format!("{} is less than lease-first", format_span(preset.lease_max)),
            allowed: format!("at least lease-first, {}", format_span(preset.lease_first)),
            ..key_finding(document, &head, "lease-max")
        });
    }
    let sum: f64 = preset.shares.iter().map(|share| share.share).sum();
    if sum > 1.0 + SHARE_SUM_TOLERANCE {
        findings.push(Finding {
            problem: format!("the shares sum to {sum:.3}"),
            allowed: "a sum of at most 1".into(),
            ..key_finding(document, &head, "share.*")
        });
    }
    let regions = deployment.regions.len();
    if sum == 0.0 && regions > 0 && preset.shares.len() >= regions {
        findings.push(Finding {
            problem: "no region has a share above zero".into(),
            allowed: "a share above 0 for at least one region".into(),
            ..key_finding(document, &head, "share.*")
        });
    }
}
