//! Finds the line numbers of sections and keys, which `rust-ini` doesn't report.
//!
//! The scan is stricter than the library: a line that is neither blank, a comment, a section nor
//! `key = value` becomes a finding and isn't passed to the library, so that one malformed line
//! doesn't hide the problems in others.

use crate::Finding;

const ALLOWED: &str = "`[kind name]`, `key = value`, or a comment that starts with `#` or `;`";
const MAX_FINDINGS: usize = 200;
/// The limit on lines that are neither blank nor comments, which bounds the time of a check.
const MAX_LINES: usize = 10_000;

/// The line numbers of the sections and keys of one file.
#[derive(Debug, Default)]
pub struct Scan {
    /// The sections, in the order of the file.
    pub sections: Vec<Lines>,
    /// The file's text without the lines that can't be parsed.
    pub clean: String,
    /// Findings on the lines that can't be parsed.
    pub findings: Vec<Finding>,
    /// Whether the file has more than [`MAX_LINES`] lines, so that some were not scanned.
    pub is_truncated: bool,
    /// Lines so far that are neither blank nor comments.
    lines: usize,
}

/// The lines of one section.
#[derive(Debug, Default)]
pub struct Lines {
    /// The line of the section's head; zero for keys before any section.
    pub head: usize,
    /// The section's head, without brackets; empty for keys before any section.
    pub name: String,
    /// The lines of its keys, in the order of the file.
    pub keys: Vec<usize>,
}

enum Line<'a> {
    Blank,
    Head(&'a str),
    Pair,
    Malformed,
}

/// Scans the text of `file`.
pub fn scan(file: &str, text: &str) -> Scan {
    let mut scan = Scan { sections: vec![Lines::default()], ..Scan::default() };
    for (index, line) in text.lines().enumerate() {
        scan.scan_line(file, index + 1, line.trim());
    }
    scan
}

impl Scan {
    fn scan_line(&mut self, file: &str, number: usize, line: &str) {
        let kind = classify(line);
        if !matches!(kind, Line::Blank) {
            self.lines += 1;
        }
        match kind {
            Line::Blank => {}
            _ if self.lines > MAX_LINES => self.truncate(file, number),
            Line::Head(name) => {
                let name = name.trim().to_owned();
                self.sections.push(Lines { head: number, name, keys: Vec::new() });
                self.keep(line);
            }
            Line::Pair => {
                if let Some(section) = self.sections.last_mut() {
                    section.keys.push(number);
                }
                self.keep(line);
            }
            Line::Malformed if self.findings.len() < MAX_FINDINGS => {
                let section = self.sections.last().map(|section| section.name.clone());
                self.findings.push(Finding {
                    file: file.into(),
                    line: number,
                    section: section.unwrap_or_default(),
                    problem: "the line can't be parsed".into(),
                    allowed: ALLOWED.into(),
                    ..Finding::default()
                });
            }
            Line::Malformed => {}
        }
    }

    fn truncate(&mut self, file: &str, number: usize) {
        if self.is_truncated {
            return;
        }
        self.is_truncated = true;
        self.findings.push(Finding {
            file: file.into(),
            line: number,
            problem: "the file has too many lines".into(),
            allowed: format!("at most {MAX_LINES} lines that aren't blank or comments"),
            ..Finding::default()
        });
    }

    fn keep(&mut self, line: &str) {
        self.clean.push_str(line);
        self.clean.push('\n');
    }
}

fn classify(line: &str) -> Line<'_> {
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Line::Blank;
    }
    // The library joins a line that ends in a backslash to the next one.
    if line.ends_with('\\') {
        return Line::Malformed;
    }
    if let Some(name) = line.strip_prefix('[') {
        return match name.strip_suffix(']') {
            Some(name) if !name.contains(['[', ']']) => Line::Head(name),
            _ => Line::Malformed,
        };
    }
    match line.split_once('=') {
        Some((key, _)) if is_key(key.trim()) => Line::Pair,
        _ => Line::Malformed,
    }
}

fn is_key(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !text.is_empty() && text.chars().all(allowed)
}
