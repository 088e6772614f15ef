use serde::{Deserialize, Serialize};
use std::fmt;

/// A problem in a settings file, and what is allowed instead.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// The file's name.
    pub file: String,
    /// The line, from 1; zero for a finding on the file as a whole.
    pub line: usize,
    /// The head of the section; empty for a finding on none.
    pub section: String,
    /// The key; empty for a finding on a whole section or file.
    pub key: String,
    /// The problem.
    pub problem: String,
    /// What is allowed.
    pub allowed: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.file)?;
        if self.line > 0 {
            write!(f, ":{}", self.line)?;
        }
        f.write_str(": ")?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "{}; allowed: {}", self.problem, self.allowed)
    }
}
