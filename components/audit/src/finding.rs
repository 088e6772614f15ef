use crate::Rule;
use std::sync::Arc;

/// The kinds of entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A route.
    Route,
    /// A service.
    Service,
    /// A client account.
    Account,
    /// Limits on what callers may send.
    Limits,
}

/// The fields of entries, and of the configuration itself.
#[allow(missing_docs, reason = "they are those of the entries in `steering`")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Field {
    Version,
    Name,
    Host,
    Prefix,
    Effect,
    Timeout,
    Objective,
    Attempts,
    Priority,
    Service,
    Split,
    Regions,
    Affinity,
    Anonymous,
    HealthPath,
    Connections,
    ColdSpan,
    ColdRate,
    Keys,
    Rate,
    Burst,
    HeadBytes,
    BodyBytes,
    HeadTimeout,
    IdleTimeout,
}

/// Where a finding is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// The kind of entry; `None` if it is unknown, or for the whole configuration.
    pub kind: Option<Kind>,
    /// The entry's position in the file, from 0; `None` for the whole configuration.
    pub position: Option<usize>,
    /// The entry's name; empty if it has none.
    pub name: Arc<str>,
    /// The field; `None` for the whole entry.
    pub field: Option<Field>,
}

impl Place {
    /// The place of an entry.
    pub fn of(kind: Kind, position: usize, name: &Arc<str>) -> Place {
        Place { kind: Some(kind), position: Some(position), name: Arc::clone(name), field: None }
    }

    /// The place of a field of the entry.
    pub fn at(self, field: Field) -> Place {
        Place { field: Some(field), ..self }
    }
}

/// Something that is wrong, and how to mend it. Neither quotes a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The rule that isn't kept.
    pub rule: Rule,
    /// Where that is.
    pub place: Place,
    /// What is wrong.
    pub problem: String,
}

impl Finding {
    /// A finding at `place`.
    pub fn new<Text>(rule: Rule, place: Place, problem: Text) -> Finding
    where
        Text: Into<String>,
    {
        Finding { rule, place, problem: problem.into() }
    }
}
