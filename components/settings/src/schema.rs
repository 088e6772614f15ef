//! Checks which sections a file has, and that each stands there once.

use crate::Finding;
use crate::document::{Document, Section};
use crate::findings::Findings;
use crate::name;
use std::collections::HashMap;

/// A kind of section.
pub struct Kind {
    /// The first word of the section's head.
    pub keyword: &'static str,
    /// How many names follow the keyword.
    pub name_count: usize,
}

/// Two sections are duplicates if their kind and names match; the order of the names doesn't
/// matter, since a link has no direction.
#[derive(PartialEq, Eq, Hash)]
struct Identity<'a> {
    kind: &'a str,
    names: Vec<&'a str>,
}

impl Identity<'_> {
    fn new(section: &Section) -> Identity<'_> {
        let mut names: Vec<&str> = section.names.iter().map(String::as_str).collect();
        names.sort_unstable();
        Identity { kind: &section.kind, names }
    }
}

/// Reports unknown kinds, heads with too few or too many names, malformed names and duplicates.
pub fn check(document: &Document, kinds: &[Kind], findings: &mut Findings) {
    let mut seen: HashMap<Identity<'_>, usize> = HashMap::new();
    for section in &document.sections {
        check_head(document, section, kinds, findings);
        let first = *seen.entry(Identity::new(section)).or_insert(section.line);
        if first != section.line {
            findings.push(Finding {
                problem: format!("the section stands twice, first on line {first}"),
                allowed: "each section once".into(),
                ..section_finding(document, section)
            });
        }
        check_keys(document, section, findings);
    }
}

/// A finding on `section` as a whole; the caller fills in the problem.
pub fn section_finding(document: &Document, section: &Section) -> Finding {
    Finding {
        file: document.file.clone(),
        line: section.line,
        section: section.head.clone(),
        ..Finding::default()
    }
}

/// The sections of `kind` that have the right number of names.
pub fn sections<'a>(document: &'a Document, kind: &Kind) -> impl Iterator<Item = &'a Section> {
    let (keyword, names) = (kind.keyword, kind.name_count);
    document.sections.iter().filter(move |each| each.kind == keyword && each.names.len() == names)
}

/// A finding on a key of the section with this head; the caller fills in the problem.
pub fn key_finding(document: &Document, head: &str, key: &str) -> Finding {
    let Some(section) = document.sections.iter().find(|section| section.head == head) else {
        return Finding { file: document.file.clone(), ..Finding::default() };
    };
    let entry = section.entries.iter().find(|entry| entry.key == key);
    let line = entry.map_or(section.line, |entry| entry.line);
    Finding { line, key: key.into(), ..section_finding(document, section) }
}

/// The finding for a section that is missing from the file.
pub fn missing_section(document: &Document, head: &str) -> Finding {
    Finding {
        file: document.file.clone(),
        problem: format!("no {head} section"),
        allowed: format!("at least one {head}"),
        ..Finding::default()
    }
}

fn check_head(document: &Document, section: &Section, kinds: &[Kind], findings: &mut Findings) {
    let Some(kind) = kinds.iter().find(|kind| kind.keyword == section.kind) else {
        let problem = "the section is unknown".into();
        findings.push(Finding {
            problem,
            allowed: heads(kinds),
            ..section_finding(document, section)
        });
        return;
    };
    if kind.name_count != section.names.len() {
        let problem = format!("the section has {} names", section.names.len());
        findings.push(Finding {
            problem,
            allowed: head(kind),
            ..section_finding(document, section)
        });
    }
    for each in section.names.iter().filter(|each| !name::is_valid(each)) {
        let problem = format!("`{each}` isn't a name");
        let allowed = name::ALLOWED.into();
        findings.push(Finding { problem, allowed, ..section_finding(document, section) });
    }
}

fn check_keys(document: &Document, section: &Section, findings: &mut Findings) {
    for (index, entry) in section.entries.iter().enumerate() {
        let mut earlier = section.entries[..index].iter();
        if let Some(first) = earlier.find(|other| other.key == entry.key) {
            findings.push(Finding {
                line: entry.line,
                key: entry.key.clone(),
                problem: format!("the key stands twice, first on line {}", first.line),
                allowed: "each key once".into(),
                ..section_finding(document, section)
            });
        }
    }
}

fn heads(kinds: &[Kind]) -> String {
    kinds.iter().map(head).collect::<Vec<String>>().join(", ")
}

fn head(kind: &Kind) -> String {
    format!("[{}{}]", kind.keyword, " NAME".repeat(kind.name_count))
}
