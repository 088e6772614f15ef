use errors::{Error, Kind};
use settings::Source;
use std::fmt::Write;
use std::path::Path;

const SITES: u32 = 110;
const BLOCKS_PER_SITE: u32 = 1273;
const FIRST_BLOCK: u32 = 10 << 16;
const REGIONS: [&str; 3] = ["antwerpen", "gent", "leuven"];

/// Reads the declaration in `directory`. With `design` its sites are replaced by 110 sites with
/// 140,030 blocks, of which no two are adjacent.
pub(super) fn read(directory: &Path, design: bool) -> Result<Source, Error> {
    let source = settings::read(directory).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
        Error::new(Kind::BadSettings, lines.join("\n"))
    })?;
    match design {
        true => Ok(Source { deployment: replace_sites(&source.deployment), ..source }),
        false => Ok(source),
    }
}

fn replace_sites(deployment: &str) -> String {
    let mut text = without_sites(deployment);
    let mut block = FIRST_BLOCK;
    for site in 0..SITES {
        let region = REGIONS[site as usize % REGIONS.len()];
        let blocks: Vec<String> = (0..BLOCKS_PER_SITE).map(|_| next_block(&mut block)).collect();
        // Writing to a `String` is infallible.
        let _ = writeln!(text, "\n[site site-{site}]\nregion = {region}\ndelay = 3 ms");
        let _ = writeln!(text, "blocks = {}", blocks.join(", "));
    }
    text
}

/// Returns `block` and advances it by two: adjacent blocks would be merged into one range.
fn next_block(block: &mut u32) -> String {
    let text = caller::format_block(*block);
    *block += 2;
    text
}

fn without_sites(deployment: &str) -> String {
    let mut kept = String::new();
    let mut skipping = false;
    for line in deployment.lines() {
        if line.starts_with('[') {
            skipping = line.starts_with("[site ");
        }
        if !skipping {
            kept.push_str(line);
            kept.push('\n');
        }
    }
    kept
}
