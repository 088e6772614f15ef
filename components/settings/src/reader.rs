//! Reads typed values from a section and collects what is wrong with them.

use crate::Finding;
use crate::document::{Entry, Section};
use crate::findings::Findings;
use crate::name;
use crate::unit::{self, Unit};
use clock::Millis;
use std::collections::HashSet;
use std::sync::Arc;

/// The least and the greatest number that a key allows.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The unit the number must carry.
    pub unit: Unit,
    /// The least number.
    pub least: u64,
    /// The greatest number.
    pub most: u64,
}

impl Bounds {
    /// From `least` to `most` in `unit`.
    pub const fn new(unit: Unit, least: u64, most: u64) -> Bounds {
        Bounds { unit, least, most }
    }

    fn allowed(self) -> String {
        let write = |number| match self.unit {
            Unit::Time => unit::span(Millis(number)),
            other => other.write(number),
        };
        format!("{} to {}", write(self.least), write(self.most))
    }
}

/// Reads the keys of one section.
///
/// A value that is missing or wrong becomes a finding, and a stand-in is returned so that reading
/// goes on; the caller must not use what it read once there are findings.
pub struct Reader<'a> {
    file: &'a str,
    section: &'a Section,
    known: Vec<String>,
    findings: &'a mut Findings,
}

impl<'a> Reader<'a> {
    /// Reads `section` of `file`.
    pub fn new(file: &'a str, section: &'a Section, findings: &'a mut Findings) -> Reader<'a> {
        Reader { file, section, known: Vec::new(), findings }
    }

    /// The section's first name after its kind.
    pub fn name(&self) -> Arc<str> {
        self.section.names.first().map(String::as_str).unwrap_or_default().into()
    }

    /// The value of a key that may be left out.
    pub fn optional(&mut self, key: &str) -> Option<&'a Entry> {
        self.known.push(key.into());
        self.section.entries.iter().find(|entry| entry.key == key)
    }

    /// The value of a key that must be there.
    pub fn required(&mut self, key: &str, allowed: &str) -> Option<&'a Entry> {
        let entry = self.optional(key);
        if entry.is_none() {
            self.report(self.section.line, key, "the key is missing".into(), allowed);
        }
        entry
    }

    /// A name.
    pub fn word(&mut self, key: &str) -> Arc<str> {
        let Some(entry) = self.required(key, name::ALLOWED) else {
            return "".into();
        };
        self.check_name(key, entry.line, &entry.value);
        entry.value.as_str().into()
    }

    /// A list of names.
    pub fn words(&mut self, key: &str) -> Vec<Arc<str>> {
        let entry = self.required(key, "names with commas between them");
        let line = entry.map(|entry| entry.line).unwrap_or_default();
        self.check_filled(key, entry);
        let mut words: Vec<Arc<str>> = Vec::new();
        let mut seen: HashSet<&str> = HashSet::new();
        for word in items(entry) {
            self.check_name(key, line, word);
            if !seen.insert(word) {
                self.report(line, key, format!("`{word}` stands twice"), "each name once");
            }
            words.push(word.into());
        }
        words
    }

    /// A number that must be there.
    pub fn number(&mut self, key: &str, bounds: Bounds) -> u64 {
        match self.required(key, &bounds.allowed()) {
            Some(entry) => self.bounded(key, entry, bounds),
            None => bounds.least,
        }
    }

    /// A number that may be left out.
    pub fn number_or(&mut self, key: &str, bounds: Bounds, default: u64) -> u64 {
        match self.optional(key) {
            Some(entry) => self.bounded(key, entry, bounds),
            None => default,
        }
    }

    /// A part of a whole that may be left out; it is above zero unless `may_be_zero`.
    pub fn part_or(&mut self, key: &str, may_be_zero: bool, default: f64) -> f64 {
        match self.optional(key) {
            Some(entry) => self.part(key, entry, may_be_zero),
            None => default,
        }
    }

    /// The part of a whole that `entry` gives.
    pub fn part(&mut self, key: &str, entry: &Entry, may_be_zero: bool) -> f64 {
        let allowed = if may_be_zero { "0 to 1" } else { "above 0, at most 1" };
        match unit::part(&entry.value) {
            Ok(0.0) if !may_be_zero => {
                self.report(entry.line, key, "the value is zero".into(), allowed);
            }
            Ok(part) => return part,
            Err(problem) => self.report(entry.line, key, problem, allowed),
        }
        1.0
    }

    /// Entries whose keys start with `prefix`.
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

    /// Reports the keys that nothing has read.
    pub fn close(mut self) {
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

    /// Reports a list without items.
    pub fn check_filled(&mut self, key: &str, entry: Option<&Entry>) {
        let empty = entry.filter(|entry| items(Some(entry)).next().is_none());
        if let Some(entry) = empty {
            self.report(entry.line, key, "the list is empty".into(), "at least one item");
        }
    }

    fn bounded(&mut self, key: &str, entry: &Entry, bounds: Bounds) -> u64 {
        let problem = match unit::number(&entry.value, bounds.unit) {
            Ok(value) if value < bounds.least => format!("`{}` is too small", entry.value),
            Ok(value) if value > bounds.most => format!("`{}` is too large", entry.value),
            Ok(value) => return value,
            Err(problem) => problem,
        };
        self.report(entry.line, key, problem, &bounds.allowed());
        bounds.least
    }

    fn check_name(&mut self, key: &str, line: usize, text: &str) {
        if !name::is_valid(text) {
            self.report(line, key, format!("`{text}` isn't a name"), name::ALLOWED);
        }
    }
}

/// The items of a list with commas between them.
pub fn items(entry: Option<&Entry>) -> impl Iterator<Item = &str> {
    let value = entry.map(|entry| entry.value.as_str()).unwrap_or_default();
    value.split(',').map(str::trim).filter(|item| !item.is_empty())
}
