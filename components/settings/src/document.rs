//! Parses a file into sections and keys with their line numbers.

use crate::Finding;
use crate::findings::Findings;
use crate::scan::{Scan, scan};
use ini::{Ini, ParseOption, Properties};
use std::collections::HashMap;

/// A parsed file.
#[derive(Debug)]
pub struct Document {
    /// The file's name.
    pub file: String,
    /// The sections, in the order of the file.
    pub sections: Vec<Section>,
}

/// A section with the head `[kind name...]`.
#[derive(Debug)]
pub struct Section {
    /// The head, with one space between its words.
    pub head: String,
    /// The head's first word.
    pub kind: String,
    /// The head's other words.
    pub names: Vec<String>,
    /// The line of the head, from 1.
    pub line: usize,
    /// The keys, in the order of the file.
    pub entries: Vec<Entry>,
}

/// A key and its value.
#[derive(Debug)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, without spaces around it.
    pub value: String,
    /// The line, from 1.
    pub line: usize,
}

/// Parses `text`. Lines that can't be parsed become findings, and the rest is still returned.
///
/// Returns `None` with a finding if the file exceeds `limit` bytes or can't be parsed at all.
pub fn parse(file: &str, text: &str, limit: usize, findings: &mut Findings) -> Option<Document> {
    if text.len() > limit {
        findings.push(too_large(file, limit));
        return None;
    }
    let mut scan = scan(file, text);
    findings.extend(scan.findings.drain(..));
    if scan.is_truncated {
        return None;
    }
    let option =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    match Ini::load_from_str_opt(&scan.clean, option) {
        Ok(ini) => {
            Some(Document { file: file.into(), sections: join_lines(&ini, scan, file, findings) })
        }
        Err(error) => {
            findings.push(Finding {
                file: file.into(),
                problem: error.to_string(),
                allowed: "an INI file".into(),
                ..Finding::default()
            });
            None
        }
    }
}

/// The finding for a file that exceeds `limit`.
pub fn too_large(file: &str, limit: usize) -> Finding {
    Finding {
        file: file.into(),
        problem: "the file is over its size limit".into(),
        allowed: format!("at most {limit} bytes"),
        ..Finding::default()
    }
}

/// Joins the sections and keys that the library parsed with the line numbers of the scan.
fn join_lines(ini: &Ini, scan: Scan, file: &str, findings: &mut Findings) -> Vec<Section> {
    let mut sections: Vec<Section> = Vec::new();
    let mut seen: HashMap<String, usize> = HashMap::new();
    for lines in scan.sections {
        if lines.head == 0 {
            findings.extend(lines.keys.iter().map(|line| key_outside_section(file, *line)));
            continue;
        }
        let earlier = seen.entry(lines.name.clone()).or_default();
        let properties = ini.section_all(Some(lines.name.as_str())).nth(*earlier);
        *earlier += 1;
        let mut words = lines.name.split_whitespace().map(str::to_owned);
        let head = lines.name.split_whitespace().collect::<Vec<&str>>().join(" ");
        sections.push(Section {
            kind: words.next().unwrap_or_default(),
            names: words.collect(),
            line: lines.head,
            entries: properties.map(|found| entries(found, &lines.keys)).unwrap_or_default(),
            head,
        });
    }
    sections
}

fn entries(properties: &Properties, lines: &[usize]) -> Vec<Entry> {
    let pairs = properties.iter().zip(lines);
    pairs
        .map(|((key, value), line)| Entry { key: key.into(), value: value.into(), line: *line })
        .collect()
}

fn key_outside_section(file: &str, line: usize) -> Finding {
    Finding {
        file: file.into(),
        line,
        problem: "the key stands before any section".into(),
        allowed: "keys below a section such as `[deployment]`".into(),
        ..Finding::default()
    }
}
