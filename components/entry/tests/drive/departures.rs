use crate::world::World;
use clock::Millis;
use session::Step;
use settings::Drain;
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
        self.add(&step.words[0], Change { at: world.clock.now(), leaves });
    }

    /// Notes a planned drain of these upstreams.
    pub fn note_drain(&mut self, upstreams: &[String], drain: &Drain) {
        for upstream in upstreams {
            self.add(upstream, Change { at: drain.start, leaves: true });
            self.add(upstream, Change { at: drain.end, leaves: false });
        }
    }

    /// Since when the upstream has been leaving at `at`, if it has.
    pub fn since(&self, upstream: &str, at: Millis) -> Option<Millis> {
        let changes = self.changes.get(upstream)?;
        let mut since = None;
        for change in changes.iter().filter(|change| change.at <= at) {
            since = if change.leaves { since.or(Some(change.at)) } else { None };
        }
        since
    }

    fn add(&mut self, upstream: &str, change: Change) {
        let changes = self.changes.entry(upstream.into()).or_default();
        changes.push(change);
        changes.sort_by_key(|change| change.at);
    }
}
