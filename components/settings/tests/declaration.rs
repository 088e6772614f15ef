//! Valid declarations load, survive a round trip through INI text, and can be compared.

use proptest::prelude::*;
use settings::{Range, Share, block, compare, instant};
use std::path::{Path, PathBuf};

fn example(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

#[test]
fn the_examples_have_the_sizes_of_the_users() {
    for (name, mbit, delay) in [("maalwerk", 280, 12), ("lumiere", 4000, 55)] {
        let declaration = settings::load(&example(name)).unwrap();
        let deployment = &declaration.deployment;
        assert_eq!(deployment.entries, 9);
        assert_eq!(deployment.regions.len(), 3);
        assert_eq!(deployment.regions.iter().map(|region| region.domains.len()).sum::<usize>(), 6);
        assert!(deployment.links.iter().all(|link| link.capacity_mbit == mbit));
        assert!(deployment.links.iter().all(|link| link.delay.0 == delay));
        assert_eq!(deployment.services.len(), 4);
        assert!(deployment.services.iter().all(|service| service.servers == 12));
        let presets: Vec<&str> = declaration.presets.iter().map(|each| &*each.name).collect();
        assert_eq!(presets, ["ordinary", "peak", "maintenance"]);
        settings::load_node(&example(name).join("node.ini")).unwrap();
    }
}

#[test]
fn a_declaration_written_back_is_the_same() {
    for name in ["maalwerk", "lumiere"] {
        let declaration = settings::load(&example(name)).unwrap();
        assert_eq!(settings::parse(&settings::write(&declaration)).unwrap(), declaration);
    }
}

#[test]
fn compare_names_each_change() {
    let old = settings::load(&example("maalwerk")).unwrap();
    assert_eq!(compare(&old, &old), []);
    let mut new = old.clone();
    new.deployment.links[0].capacity_mbit = 300;
    new.presets[1].shares.retain(|share| &*share.region != "gent");
    new.presets[1].shares[0] = Share { region: "antwerpen".into(), share: 0.5 };
    new.drains.clear();
    let lines: Vec<String> = compare(&old, &new).iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "~ [link antwerpen gent] capacity: 280 Mbit/s -> 300 Mbit/s",
            "~ [preset peak] share.antwerpen: 0.34 -> 0.5",
            "- [preset peak] share.gent: 0.33",
            "- [drain replace-gent-2]: domain = gent-2, start = 2027-01-12T22:00:00Z, \
             end = 2027-01-13T02:00:00Z",
        ]
    );
}

#[test]
fn the_debug_form_of_a_node_holds_no_key() {
    let node = settings::load_node(&example("maalwerk").join("node.ini")).unwrap();
    let shown = format!("{node:?}");
    assert!(shown.contains("e1"));
    assert!(!shown.contains(&*node.operator_key) && !shown.contains(&*node.peer_key));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn a_range_written_as_networks_is_the_same(first in 0u32..1 << 24, length in 0u32..5000) {
        let last = (first + length).min((1 << 24) - 1);
        let text = block::format(Range { first, last });
        let mut next = first;
        for network in text.split(", ") {
            let range = block::parse(network).unwrap();
            prop_assert_eq!(range.first, next);
            next = range.last + 1;
        }
        prop_assert_eq!(next, last + 1);
    }

    #[test]
    fn an_instant_written_back_is_the_same(secs in 0u64..253_402_300_799) {
        let when = clock::Millis::from_secs(secs);
        prop_assert_eq!(instant::parse(&instant::format(when)), Some(when));
    }

    #[test]
    fn any_text_is_refused_or_read_without_a_panic(text in "[\\[\\]a-z =.0-9\\n\\\\:#é-]{0,200}") {
        let source = settings::Source { deployment: text.clone(), presets: text.clone(), drains: text };
        prop_assert!(settings::parse(&source).is_err());
    }
}

#[test]
fn a_file_over_its_size_limit_is_refused_before_it_is_parsed() {
    let mut source = settings::read(&example("maalwerk")).unwrap();
    source.presets.push_str(&"#".repeat(settings::PRESETS_OR_DRAINS_MAX_BYTES));
    let findings = settings::parse(&source).unwrap_err();
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        ["presets.ini: the file is over its size limit; allowed: at most 262144 bytes"]
    );
}

#[test]
fn a_missing_directory_is_a_finding_for_each_file() {
    let findings = settings::load(Path::new("no/such/directory")).unwrap_err();
    assert_eq!(findings.len(), 3);
}

const SITES: u32 = 110;
const BLOCKS_PER_SITE: u32 = 1273;
const SITE_STRIDE: u32 = 4096;

/// A declaration of the size that the system is designed for, with one network per block.
fn large() -> settings::Source {
    let mut source = settings::read(&example("maalwerk")).unwrap();
    for site in 0..SITES {
        // Every second block, so that no two are adjacent. The example doesn't use 64.0.0.0 and up.
        let first = (64 << 16) + site * SITE_STRIDE;
        let network = |block| format!("{}/24", block::address(first + 2 * block));
        let blocks: Vec<String> = (0..BLOCKS_PER_SITE).map(network).collect();
        source.deployment.push_str(&format!(
            "\n[site s{site}]\nregion = gent\ndelay = 3 ms\nblocks = {}\n",
            blocks.join(", ")
        ));
    }
    source
}

#[test]
fn the_size_to_design_for_is_within_the_limits() {
    let declaration = settings::parse(&large()).unwrap();
    let sites = declaration.deployment.sites.iter().filter(|site| site.name.starts_with('s'));
    let blocks: usize = sites.map(|site| site.blocks.len()).sum();
    assert_eq!(blocks, (SITES * BLOCKS_PER_SITE) as usize);
}

#[test]
fn findings_and_lines_are_bounded() {
    let mut source = large();
    source.deployment = source.deployment.replace("/24", "/25");
    let findings = settings::parse(&source).unwrap_err();
    assert_eq!(findings.len(), 1001);
    let last = findings.last().unwrap().to_string();
    assert_eq!(last, "deployment.ini: 139030 more findings are left out; allowed: none");

    let mut source = large();
    source.deployment.push_str(&"[site a]\n".repeat(10_000));
    let findings = settings::parse(&source).unwrap_err();
    assert_eq!(findings.len(), 1);
    assert_eq!(findings[0].problem, "the file has too many lines");
}
