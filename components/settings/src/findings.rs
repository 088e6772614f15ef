use crate::Finding;

/// The most findings of one check, which bounds the size of the result for a broken file.
const MAX_FINDINGS: usize = 1_000;

/// Collects findings, up to [`MAX_FINDINGS`].
#[derive(Debug, Default)]
pub struct Findings {
    findings: Vec<Finding>,
    omitted: usize,
}

impl Findings {
    /// Adds a finding, or only counts it once there are [`MAX_FINDINGS`].
    pub fn push(&mut self, finding: Finding) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(finding);
        } else {
            self.omitted += 1;
        }
    }

    /// Adds several findings.
    pub fn extend<Found>(&mut self, found: Found)
    where
        Found: IntoIterator<Item = Finding>,
    {
        found.into_iter().for_each(|finding| self.push(finding));
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// The findings by file, in `order`, and line; the last one gives the number of omitted ones.
    pub fn finish<T>(mut self, order: &[&str], value: T) -> Result<T, Vec<Finding>> {
        if self.findings.is_empty() {
            return Ok(value);
        }
        self.findings.sort_by_key(|finding| {
            (order.iter().position(|file| *file == finding.file), finding.line)
        });
        if self.omitted > 0 {
            self.findings.push(Finding {
                file: self.findings.last().map(|last| last.file.clone()).unwrap_or_default(),
                problem: format!("{} more findings are left out", self.omitted),
                allowed: "none".into(),
                ..Finding::default()
            });
        }
        Err(self.findings)
    }
}
