use crate::world::World;
use clock::Millis;
use session::Step;
use settings::Drain;
use std::collections::BTreeMap;

/// When each upstream was first announced as leaving, by any source, and when it was back.
#[derive(Default)]
pub struct LeavingHistory {
    changes: BTreeMap<String, Vec<Change>>,
}

struct Change {
    at: Millis,
    leaving: bool,
}

impl LeavingHistory {
    /// Records a step that makes an upstream leave or stay.
    pub fn record_step(&mut self, world: &World, step: &Step) {
        let leaving = match step.words.get(1).map(String::as_str) {
            Some("leaving" | "listed-leaving") => true,
            Some("staying" | "listed-live") => false,
            _ => return,
        };
        self.add(&step.words[0], Change { at: world.clock.now(), leaving });
    }

    /// Records a planned drain of these upstreams.
    pub fn record_drain(&mut self, upstreams: &[String], drain: &Drain) {
        for upstream in upstreams {
            self.add(upstream, Change { at: drain.start, leaving: true });
            self.add(upstream, Change { at: drain.end, leaving: false });
        }
    }

    /// The time since which the upstream has been leaving, if it is leaving at `at`.
    pub fn leaving_since(&self, upstream: &str, at: Millis) -> Option<Millis> {
        let changes = self.changes.get(upstream)?;
        let mut since = None;
        for change in changes.iter().filter(|change| change.at <= at) {
            since = if change.leaving { since.or(Some(change.at)) } else { None };
        }
        since
    }

    fn add(&mut self, upstream: &str, change: Change) {
        let changes = self.changes.entry(upstream.into()).or_default();
        changes.push(change);
        changes.sort_by_key(|change| change.at);
    }
}
