use std::collections::BTreeMap;
use std::sync::Arc;

/// How many transmissions of a change are cancelled for each peer that has it already.
const KNOWN_PEER_COST: u32 = 1;

/// Names of changes that still have to be sent, with the remaining transmissions of each.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    remaining: BTreeMap<Arc<str>, u32>,
}

impl Queue {
    /// Queues `name` for as many transmissions as a fleet of `vms` needs.
    pub(crate) fn push(&mut self, name: Arc<str>, vms: usize) {
        self.remaining.insert(name, transmissions(vms));
    }

    /// Whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Counts a peer that has the change `name` already, so that known changes are dropped early.
    pub(crate) fn count_known(&mut self, name: &str) {
        let Some(remaining) = self.remaining.get_mut(name) else { return };
        *remaining = remaining.saturating_sub(KNOWN_PEER_COST);
        if *remaining == 0 {
            self.remaining.remove(name);
        }
    }

    /// Takes at most `count` names, those with the most remaining transmissions first.
    pub(crate) fn take(&mut self, count: usize) -> Vec<Arc<str>> {
        let mut names: Vec<(u32, Arc<str>)> =
            self.remaining.iter().map(|(name, remaining)| (*remaining, Arc::clone(name))).collect();
        names.sort_by(|one, other| other.0.cmp(&one.0).then_with(|| one.1.cmp(&other.1)));
        names.truncate(count);
        for (remaining, name) in &names {
            match remaining {
                0 | 1 => self.remaining.remove(name),
                _ => self.remaining.insert(Arc::clone(name), remaining - 1),
            };
        }
        names.into_iter().map(|(_, name)| name).collect()
    }
}

/// How often each VM sends a change so that it reaches a fleet of `vms`.
fn transmissions(vms: usize) -> u32 {
    4 + vms.max(2).ilog2() / 2
}
