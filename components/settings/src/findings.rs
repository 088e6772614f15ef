use crate::Finding;

/// The most findings of one run, so that a broken file of any size gets an answer of bounded size.
const MAX_FINDINGS: usize = 1_000;

/// What was found so far.
#[derive(Debug, Default)]
pub struct Findings {
    kept: Vec<Finding>,
    left_out: usize,
}

impl Findings {
    /// Adds a finding, or only counts it when there are too many.
    pub fn push(&mut self, finding: Finding) {
        if self.kept.len() < MAX_FINDINGS {
            self.kept.push(finding);
        } else {
            self.left_out += 1;
        }
    }

    /// Adds several findings.
    pub fn extend<Found>(&mut self, found: Found)
    where
        Found: IntoIterator<Item = Finding>,
    {
        found.into_iter().for_each(|finding| self.push(finding));
    }

    /// The findings by line within each file of `order`, and how many were left out; `value` when
    /// there are none.
    ///
    /// # Errors
    ///
    /// The findings.
    pub fn close<T>(mut self, order: &[&str], value: T) -> Result<T, Vec<Finding>> {
        if self.kept.is_empty() {
            return Ok(value);
        }
        self.kept.sort_by_key(|finding| {
            (order.iter().position(|file| *file == finding.file), finding.line)
        });
        if self.left_out > 0 {
            self.kept.push(Finding {
                file: self.kept.last().map(|last| last.file.clone()).unwrap_or_default(),
                problem: format!("{} more findings are left out", self.left_out),
                allowed: "none".into(),
                ..Finding::default()
            });
        }
        Err(self.kept)
    }
}
