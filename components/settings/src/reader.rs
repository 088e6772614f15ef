//! Reads typed values from a section and collects what is wrong with them.

use crate::Finding;
use crate::document::{Entry, Section};
use crate::findings::Findings;
use crate::name;
use crate::unit::{self, Unit};
use clock::Millis;
use std::collections::HashSet;
use std::sync::Arc;

/// The smallest and the largest number that a key allows.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The unit that the number must have.
    pub unit: Unit,
    /// The smallest number, in `unit` (milliseconds for a time).
    pub min: u64,
    /// The largest number, in `unit` (milliseconds for a time).
    pub max: u64,
}

impl Bounds {
    /// From `min` to `max` in `unit`.
    pub const fn new(unit: Unit, min: u64, max: u64) -> Bounds {
        Bounds { unit, min, max }
    }

    fn allowed(self) -> String {
        let write = |number| match self.unit {
            Unit::Time => unit::format_span(Millis(number)),
            other => other.write(number),
        };
        format!("{} to {}", write(self.min), write(self.max))
    }
}

/// Reads the keys of one section.
///
/// A missing or invalid value becomes a finding, and a placeholder is returned so that the other
/// keys are checked as well. Once there are findings, the values must not be used.
pub struct Reader<'a> {
    file: &'a str,
    section: &'a Section,
    known: Vec<String>,
    findings: &'a mut Findings,
}

impl<'a> Reader<'a> {
    /// A reader of `section` in `file`.
    pub fn new(file: &'a str, section: &'a Section, findings: &'a mut Findings) -> Reader<'a> {
        Reader { file, section, known: Vec::new(), findings }
    }

    /// The first name in the section's head; empty if there is none.
    pub fn section_name(&self) -> Arc<str> {
        self.section.names.first().map(String::as_str).unwrap_or_default().into()
    }

    /// The entry of an optional key.
    pub fn optional(&mut self, key: &str) -> Option<&'a Entry> {
        self.known.push(key.into());
        self.section.entries.iter().find(|entry| entry.key == key)
    }

    /// The entry of a required key; a missing one is a finding.
    pub fn required(&mut self, key: &str, allowed: &str) -> Option<&'a Entry> {
        let entry = self.optional(key);
        if entry.is_none() {
            self.report(self.section.line, key, "the key is missing".into(), allowed);
        }
        entry
    }

    /// The name under a required key; empty if the key is missing.
    pub fn name_of(&mut self, key: &str) -> Arc<str> {
        let Some(entry) = self.required(key, name::ALLOWED) else {
            return "".into();
        };
        self.check_name(key, entry.line, &entry.value);
        entry.value.as_str().into()
    }

    /// The list of names under a required key.
    pub fn names(&mut self, key: &str) -> Vec<Arc<str>> {
        let entry = self.required(key, "names with commas between them");
        let line = entry.map(|entry| entry.line).unwrap_or_default();
        self.check_not_empty(key, entry);
        let mut names: Vec<Arc<str>> = Vec::new();
        let mut seen: HashSet<&str> = HashSet::new();
        for name in items(entry) {
            self.check_name(key, line, name);
            if !seen.insert(name) {
                self.report(line, key, format!("`{name}` stands twice"), "each name once");
            }
            names.push(name.into());
        }
        names
    }

    /// The number under a required key.
    pub fn number(&mut self, key: &str, bounds: Bounds) -> u64 {
        match self.required(key, &bounds.allowed()) {
            Some(entry) => self.parse_bounded(key, entry, bounds),
            None => bounds.min,
        }
    }

    /// The number under an optional key.
    pub fn number_or(&mut self, key: &str, bounds: Bounds, default: u64) -> u64 {
        match self.optional(key) {
            Some(entry) => self.parse_bounded(key, entry, bounds),
            None => default,
        }
    }

    /// A fraction under an optional key; zero is a finding unless `may_be_zero`.
    pub fn fraction_or(&mut self, key: &str, may_be_zero: bool, default: f64) -> f64 {
        match self.optional(key) {
            Some(entry) => self.fraction(key, entry, may_be_zero),
            None => default,
        }
    }

    /// The fraction that `entry` gives; zero is a finding unless `may_be_zero`.
    pub fn fraction(&mut self, key: &str, entry: &Entry, may_be_zero: bool) -> f64 {
        let allowed = if may_be_zero { "0 to 1" } else { "above 0, at most 1" };
        match unit::parse_fraction(&entry.value) {
            Ok(0.0) if !may_be_zero => {
                self.report(entry.line, key, "the value is zero".into(), allowed);
            }
            Ok(fraction) => return fraction,
            Err(problem) => self.report(entry.line, key, problem, allowed),
        }
        1.0
    }

    /// Entries whose keys start with `prefix`, which a region's name follows.
    pub fn prefixed(&mut self, prefix: &str) -> Vec<&'a Entry> {
        let section = self.section;
        let found: Vec<&Entry> =
            section.entries.iter().filter(|entry| entry.key.starts_with(prefix)).collect();
        self.known.extend(found.iter().map(|entry| entry.key.clone()));
        self.known.push(format!("{prefix}REGION"));
        found
    }

    /// Adds a finding on `key` at `line`.
    pub fn report(&mut self, line: usize, key: &str, problem: String, allowed: &str) {
        self.findings.push(Finding {
            file: self.file.into(),
            line,
            section: self.section.head.clone(),
            key: key.into(),
            problem,
            allowed: allowed.into(),
        });
    }

    /// Reports the keys that no other method has read as unknown.
    pub fn finish(mut self) {
        let section = self.section;
        let mut allowed: Vec<&str> = self.known.iter().map(String::as_str).collect();
        allowed.sort_unstable();
        allowed.dedup();
        let allowed = allowed.join(", ");
        for entry in &section.entries {
            if !self.known.contains(&entry.key) {
                self.report(entry.line, &entry.key, "the key is unknown".into(), &allowed);
            }
        }
    }

    /// Reports a list without items; a missing entry isn't reported.
    pub fn check_not_empty(&mut self, key: &str, entry: Option<&Entry>) {
        let empty = entry.filter(|entry| items(Some(entry)).next().is_none());
        if let Some(entry) = empty {
            self.report(entry.line, key, "the list is empty".into(), "at least one item");
        }
    }

    fn parse_bounded(&mut self, key: &str, entry: &Entry, bounds: Bounds) -> u64 {
        let problem = match unit::parse_number(&entry.value, bounds.unit) {
            Ok(value) if value < bounds.min => format!("`{}` is too small", entry.value),
            Ok(value) if value > bounds.max => format!("`{}` is too large", entry.value),
            Ok(value) => return value,
            Err(problem) => problem,
        };
        self.report(entry.line, key, problem, &bounds.allowed());
        bounds.min
    }

    fn check_name(&mut self, key: &str, line: usize, text: &str) {
        if !name::is_valid(text) {
            self.report(line, key, format!("`{text}` isn't a name"), name::ALLOWED);
        }
    }
}

/// The items of a comma-separated list; none if the entry is missing.
pub fn items(entry: Option<&Entry>) -> impl Iterator<Item = &str> {
    let value = entry.map(|entry| entry.value.as_str()).unwrap_or_default();
    value.split(',').map(str::trim).filter(|item| !item.is_empty())
}
