use crate::Declaration;
use crate::write::{Section, sections};
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

const MAX_VALUE_CHARS: usize = 200;

/// One difference between two declarations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The section that differs, such as `region gent`.
    pub section: String,
    /// The key that differs; empty when the whole section was added or removed.
    pub key: String,
    /// The value before, if there was one.
    pub before: Option<String>,
    /// The value after, if there is one.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match (&self.before, &self.after) {
            (None, _) => '+',
            (Some(_), None) => '-',
            (Some(_), Some(_)) => '~',
        };
        write!(f, "{sign} [{}]", self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(f, ": {} -> {}", truncate(before), truncate(after))
            }
            (Some(value), None) | (None, Some(value)) => write!(f, ": {}", truncate(value)),
            (None, None) => Ok(()),
        }
    }
}

/// Truncates a value that is too long for a line, such as the blocks of a large site.
fn truncate(value: &str) -> Cow<'_, str> {
    match value.char_indices().nth(MAX_VALUE_CHARS) {
        Some((end, _)) => format!("{}... ({} bytes)", &value[..end], value.len()).into(),
        None => value.into(),
    }
}

/// The differences from `old` to `new`, section by section.
pub fn compare(old: &Declaration, new: &Declaration) -> Vec<Change> {
    let (old, new) = (sections(old), sections(new));
    let olds: BTreeMap<&str, &Section> = index(&old);
    let news: BTreeMap<&str, &Section> = index(&new);
    let mut changes = Vec::new();
    for section in &new {
        match olds.get(section.head.as_str()) {
            Some(before) => compare_keys(before, section, &mut changes),
            None => changes.push(section_change(section, None, Some(summary(section)))),
        }
    }
    for section in old.iter().filter(|section| !news.contains_key(section.head.as_str())) {
        changes.push(section_change(section, Some(summary(section)), None));
    }
    changes
}

fn index(sections: &[Section]) -> BTreeMap<&str, &Section> {
    sections.iter().map(|section| (section.head.as_str(), section)).collect()
}

fn compare_keys(old: &Section, new: &Section, changes: &mut Vec<Change>) {
    let olds: BTreeMap<&str, &str> = values(old);
    let news: BTreeMap<&str, &str> = values(new);
    let added = news.keys().filter(|key| !olds.contains_key(*key));
    for key in olds.keys().chain(added) {
        let (before, after) = (olds.get(key), news.get(key));
        if before != after {
            changes.push(Change {
                section: new.head.clone(),
                key: (*key).into(),
                before: before.map(|value| (*value).into()),
                after: after.map(|value| (*value).into()),
            });
        }
    }
}

fn values(section: &Section) -> BTreeMap<&str, &str> {
    section.pairs.iter().map(|pair| (pair.key.as_str(), pair.value.as_str())).collect()
}

fn section_change(section: &Section, before: Option<String>, after: Option<String>) -> Change {
    Change { section: section.head.clone(), key: String::new(), before, after }
}

fn summary(section: &Section) -> String {
    let pairs: Vec<String> =
        section.pairs.iter().map(|pair| format!("{} = {}", pair.key, pair.value)).collect();
    pairs.join(", ")
}
