use clock::Millis;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long an upstream's own word that it leaves outweighs a report that it doesn't.
const HOLD: Millis = Millis::from_secs(10);

/// Upstreams that said themselves that they leave, before any list did.
#[derive(Default)]
pub(crate) struct Leaving {
    since: BTreeMap<Arc<str>, Millis>,
}

impl Leaving {
    /// Notes that an upstream said that it leaves.
    pub(crate) fn mark(&mut self, upstream: &Arc<str>, now: Millis) {
        self.since.insert(Arc::clone(upstream), now);
    }

    /// Notes a report that the upstream stays; it counts only well after it last said otherwise.
    pub(crate) fn clear(&mut self, upstream: &str, now: Millis) -> bool {
        let held = self.since.get(upstream).is_some_and(|since| now - *since < HOLD);
        !held && self.since.remove(upstream).is_some()
    }

    pub(crate) fn contains(&self, upstream: &str) -> bool {
        self.since.contains_key(upstream)
    }

    /// Forgets upstreams that no list knows any more.
    pub(crate) fn retain<Known>(&mut self, known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.since.retain(|name, _| known(name));
    }

    pub(crate) fn names(&self) -> Vec<Arc<str>> {
        self.since.keys().cloned().collect()
    }
}
