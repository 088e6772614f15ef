use std::collections::HashSet;
use std::sync::Arc;

/// The label of names beyond the limit.
const OTHER: &str = "other";

/// The values of a label that are names from a configuration. Only so many get a value of their own,
/// so that neither many names nor changing ones let the metrics grow.
#[derive(Debug)]
pub struct Labels {
    limit: usize,
    known: HashSet<Arc<str>>,
}

impl Labels {
    /// Gives the first `limit` names a value of their own.
    pub fn new(limit: usize) -> Labels {
        Labels { limit, known: HashSet::new() }
    }

    /// The value for `name`.
    pub fn of(&mut self, name: &Arc<str>) -> Arc<str> {
        if !self.known.contains(name) {
            if self.known.len() >= self.limit {
                return OTHER.into();
            }
            self.known.insert(Arc::clone(name));
        }
        Arc::clone(name)
    }
}
