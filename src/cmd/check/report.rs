//! What the check of a configuration prints.

use crate::failure::Failure;
use crate::output::Output;
use audit::{Difference, Draft, Finding, Rule, Severity, Vocabulary, compare};
use serde::Serialize;
use std::path::Path;
use std::sync::Arc;

/// The most findings, and the most changes, that are printed.
const MAX_LISTED: usize = 1_000;

/// The result of a check.
#[derive(Serialize)]
pub struct Report {
    file: String,
    version: String,
    /// The version in force, if there is one to compare with.
    version_in_force: Option<String>,
    errors: usize,
    warnings: usize,
    findings: Vec<Line>,
    /// Findings that are left out.
    omitted: usize,
    /// What differs from the configuration in force, if there is one to compare with.
    difference: Option<Difference>,
    /// Changes that are left out.
    omitted_changes: usize,
    /// Entries and fields that can't be read in the configuration in force; what has them isn't compared.
    unreadable_in_force: usize,
}

/// A finding in the words of its file.
#[derive(Serialize)]
struct Line {
    severity: Severity,
    rule: Rule,
    /// The entry, such as `resources[3]`; empty for the whole configuration.
    entry: String,
    kind: &'static str,
    name: Arc<str>,
    field: &'static str,
    problem: String,
    mend: &'static str,
}

impl Line {
    fn new(finding: &Finding, words: &dyn Vocabulary) -> Line {
        let place = &finding.place;
        let entry = place.position.map(|position| format!("{}[{position}]", words.entries()));
        Line {
            severity: finding.rule.severity(),
            rule: finding.rule,
            entry: entry.unwrap_or_default(),
            kind: place.kind.map_or("", |kind| words.kind(kind)),
            name: Arc::clone(&place.name),
            field: place.field.map_or("", |field| words.field(field)),
            problem: finding.problem.clone(),
            mend: finding.rule.mend(),
        }
    }

    fn text(&self, file: &str) -> String {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        let parts = [&self.entry, self.kind, &self.name, self.field].into_iter();
        let parts: Vec<&str> = parts.filter(|part| !part.is_empty()).collect();
        let place = if parts.is_empty() { String::new() } else { format!("{}: ", parts.join(" ")) };
        format!("{severity}: {file}: {place}{}; {}", self.problem, self.mend)
    }
}

impl Report {
    /// The report on a draft.
    pub fn new(
        path: &Path,
        draft: &Draft,
        findings: &[Finding],
        in_force: Option<&Draft>,
        words: &dyn Vocabulary,
    ) -> Report {
        let mut difference = in_force.map(|in_force| compare(draft, in_force, words));
        let count = |severity| {
            findings.iter().filter(|finding| finding.rule.severity() == severity).count()
        };
        let changes = difference.as_mut().map(|difference| &mut difference.changes);
        let omitted_changes = changes.map_or(0, |changes| {
            let omitted = changes.len().saturating_sub(MAX_LISTED);
            changes.truncate(MAX_LISTED);
            omitted
        });
        let lines = findings.iter().take(MAX_LISTED);
        Report {
            file: path.display().to_string(),
            version: words.version(draft.version),
            version_in_force: in_force.map(|in_force| words.version(in_force.version)),
            errors: count(Severity::Error),
            warnings: count(Severity::Warning),
            findings: lines.map(|finding| Line::new(finding, words)).collect(),
            omitted: findings.len().saturating_sub(MAX_LISTED),
            difference,
            omitted_changes,
            unreadable_in_force: in_force.map_or(0, |in_force| in_force.unreadable().count()),
        }
    }

    /// Prints the report.
    pub fn print(&self, output: &Output) {
        for line in &self.findings {
            output.line(&line.text(&self.file));
        }
        if self.omitted > 0 {
            output.line(&format!("{} more findings are left out", self.omitted));
        }
        if let Some(Difference { changes, keys }) = &self.difference {
            let count = changes.len() + self.omitted_changes + keys.len();
            let version = self.version_in_force.as_deref().unwrap_or_default();
            output.line(&format!("{count} changes to version {version}"));
            changes.iter().for_each(|change| output.line(&change.to_string()));
            if self.omitted_changes > 0 {
                output.line(&format!("{} more changes are left out", self.omitted_changes));
            }
            keys.iter().for_each(|keys| output.line(&keys.to_string()));
            if self.unreadable_in_force > 0 {
                let count = self.unreadable_in_force;
                output
                    .line(&format!("not compared: {count} unreadable entries or fields in force"));
            }
        }
        let Report { file, version, errors, warnings, .. } = self;
        output.line(&format!("{file}, version {version}: {errors} errors, {warnings} warnings"));
        output.document(self);
    }

    /// Fails for errors and, if they are denied, for warnings.
    pub fn verdict(&self, deny_warnings: bool) -> Result<(), Failure> {
        if self.errors > 0 || deny_warnings && self.warnings > 0 {
            return Err(Failure::Reported);
        }
        Ok(())
    }
}
