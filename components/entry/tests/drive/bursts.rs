use std::collections::BTreeMap;

const BURST_MARK: &str = "-of-burst-";

/// The name of one request of a burst.
pub fn request_name(burst: &str, number: u64) -> String {
    format!("{burst}{BURST_MARK}{number}")
}

/// Replaces the lines of burst requests by one line with a count for each burst and result. These
/// lines come last.
pub fn summarize(lines: Vec<String>) -> Vec<String> {
    let (burst_lines, mut rest): (Vec<String>, Vec<String>) =
        lines.into_iter().partition(|line| line.contains(BURST_MARK));
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for line in &burst_lines {
        *counts.entry(summary_key(line)).or_default() += 1;
    }
    rest.extend(counts.iter().map(|(summary_key, count)| format!("{summary_key}: {count}")));
    rest
}

// The burst's name and the result of its request, without its time, number and error detail.
fn summary_key(line: &str) -> String {
    let (before, after) = line.split_once(BURST_MARK).unwrap_or((line, ""));
    let burst = before.rsplit(' ').next().unwrap_or_default();
    let mut words = after.split([' ', ':']).skip(1);
    if before.starts_with("ran at") {
        return format!("{burst} ran");
    }
    let result = words.next().unwrap_or_default();
    let kind = words.next().unwrap_or_default();
    format!("{burst} {result} {kind}")
}
