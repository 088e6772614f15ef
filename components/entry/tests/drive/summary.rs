use std::collections::BTreeMap;

const MARK: &str = "-of-burst-";

/// The name of one request of a burst.
pub fn name(burst: &str, number: u64) -> String {
    format!("{burst}{MARK}{number}")
}

/// Replaces the lines of the requests of each burst by their counts, at the end.
pub fn fold_bursts(lines: Vec<String>) -> Vec<String> {
    let (of_bursts, mut rest): (Vec<String>, Vec<String>) =
        lines.into_iter().partition(|line| line.contains(MARK));
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for line in &of_bursts {
        *counts.entry(key(line)).or_default() += 1;
    }
    rest.extend(counts.iter().map(|(key, count)| format!("{key}: {count}")));
    rest
}

// The burst's name and how its request ended: without times, numbers and words of explanation.
fn key(line: &str) -> String {
    let (before, after) = line.split_once(MARK).unwrap_or((line, ""));
    let burst = before.rsplit(' ').next().unwrap_or_default();
    let mut words = after.split([' ', ':']).skip(1);
    if before.starts_with("ran at") {
        return format!("{burst} ran");
    }
    let ended = words.next().unwrap_or_default();
    let kind = words.next().unwrap_or_default();
    format!("{burst} {ended} {kind}")
}
