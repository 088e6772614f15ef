use std::collections::BTreeMap;
use std::sync::Arc;

/// Transmissions that are saved when a peer turns out to have a change already.
const KNOWN_COST: u32 = 1;

/// Names of changes that still have to be passed on, with the times left for each.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    left: BTreeMap<Arc<str>, u32>,
}

impl Queue {
    /// Passes `name` on as often as a fleet of `nodes` needs.
    pub(crate) fn push(&mut self, name: Arc<str>, nodes: usize) {
        self.left.insert(name, transmissions(nodes));
    }

    /// Whether there is anything to pass on.
    pub(crate) fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// Counts a peer that had `name` already, so that old news is dropped early.
    pub(crate) fn heard(&mut self, name: &str) {
        let Some(left) = self.left.get_mut(name) else { return };
        *left = left.saturating_sub(KNOWN_COST);
        if *left == 0 {
            self.left.remove(name);
        }
    }

    /// Takes at most `count` names, those first that were passed on least.
    pub(crate) fn take(&mut self, count: usize) -> Vec<Arc<str>> {
        let mut names: Vec<(u32, Arc<str>)> =
            self.left.iter().map(|(name, left)| (*left, Arc::clone(name))).collect();
        names.sort_by(|one, other| other.0.cmp(&one.0).then_with(|| one.1.cmp(&other.1)));
        names.truncate(count);
        for (left, name) in &names {
            match left {
                0 | 1 => self.left.remove(name),
                _ => self.left.insert(Arc::clone(name), left - 1),
            };
        }
        names.into_iter().map(|(_, name)| name).collect()
    }
}

/// How often each node passes a change on so that it reaches a fleet of `nodes`.
fn transmissions(nodes: usize) -> u32 {
    4 + nodes.max(2).ilog2() / 2
}
