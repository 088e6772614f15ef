use clock::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Which of an upstream's own words says that it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// The header of an answer.
    Answer,
    /// A load report.
    Report,
}

impl Source {
    /// How long the word outweighs load reports to the contrary.
    ///
    /// A report can take back a former report soon, but the upstream's answers only late, since
    /// health endpoints lag and mislead.
    const fn hold(self) -> Millis {
        match self {
            Source::Answer => Millis::from_secs(300),
            Source::Report => Millis::from_secs(10),
        }
    }
}

/// Upstreams that said themselves that they leave, before any list did.
#[derive(Default)]
pub(crate) struct Leaving {
    until: BTreeMap<Arc<str>, Millis>,
}

impl Leaving {
    /// Notes that an upstream said that it leaves.
    pub(crate) fn mark(&mut self, upstream: &Arc<str>, source: Source, now: Millis) {
        let until = self.until.entry(Arc::clone(upstream)).or_default();
        *until = (*until).max(now + source.hold());
    }

    /// Notes a report that the upstream stays; true if that takes back what it said before.
    pub(crate) fn clear(&mut self, upstream: &str, now: Millis) -> bool {
        let held = self.until.get(upstream).is_some_and(|until| now < *until);
        !held && self.until.remove(upstream).is_some()
    }

    pub(crate) fn contains(&self, upstream: &str) -> bool {
        self.until.contains_key(upstream)
    }

    /// Forgets upstreams that no list knows any more.
    pub(crate) fn retain<Known>(&mut self, known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.until.retain(|name, _| known(name));
    }

    pub(crate) fn names(&self) -> Vec<Arc<str>> {
        self.until.keys().cloned().collect()
    }
}
