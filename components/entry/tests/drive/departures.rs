use crate::world::World;
use clock::Millis;
use session::Step;
use std::collections::BTreeMap;

/// When each upstream first said that it leaves, by whichever source, and when it came back.
#[derive(Default)]
pub struct Departures {
    changes: BTreeMap<String, Vec<Change>>,
}

struct Change {
    at: Millis,
    leaves: bool,
}

impl Departures {
    /// Notes a step that makes an upstream leave or stay.
    pub fn note(&mut self, world: &World, step: &Step) {
        let leaves = match step.words.get(1).map(String::as_str) {
            Some("leaving" | "listed-leaving") => true,
            Some("staying" | "listed-live") => false,
            _ => return,
        };
        let change = Change { at: world.clock.now(), leaves };
        self.changes.entry(step.words[0].clone()).or_default().push(change);
    }

    /// Since when the upstream has been leaving at `at`, if it has.
    pub fn since(&self, upstream: &str, at: Millis) -> Option<Millis> {
        let changes = self.changes.get(upstream)?;
        let before = changes.iter().rev().find(|change| change.at <= at)?;
        before.leaves.then_some(before.at)
    }
}
