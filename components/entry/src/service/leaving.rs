use clock::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How an upstream announced that it is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    /// By a header of a response.
    Response,
    /// By a load report.
    LoadReport,
}

impl Source {
    /// How long later load reports cannot revoke the announcement.
    ///
    /// It is longer for a response, since health endpoints lag behind and can be wrong.
    const fn hold_time(self) -> Millis {
        match self {
            Source::Response => Millis::from_secs(300),
            Source::LoadReport => Millis::from_secs(10),
        }
    }
}

/// Upstreams that announced that they are leaving, often before a snapshot lists them so.
#[derive(Default)]
pub(crate) struct Leaving {
    /// The time from which load reports may revoke an announcement, by upstream.
    until: BTreeMap<Arc<str>, Millis>,
}

impl Leaving {
    /// Records that an upstream announced that it is leaving.
    pub(crate) fn mark(&mut self, upstream: &Arc<str>, source: Source, now: Millis) {
        let until = self.until.entry(Arc::clone(upstream)).or_default();
        *until = (*until).max(now + source.hold_time());
    }

    /// Records a load report without an announcement; true if that revokes an earlier one.
    pub(crate) fn clear(&mut self, upstream: &str, now: Millis) -> bool {
        let held = self.until.get(upstream).is_some_and(|until| now < *until);
        !held && self.until.remove(upstream).is_some()
    }

    pub(crate) fn contains(&self, upstream: &str) -> bool {
        self.until.contains_key(upstream)
    }

    /// Removes upstreams that are no longer `known`.
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
