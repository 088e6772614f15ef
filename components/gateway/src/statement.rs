//! What upstreams state about themselves in their responses.
//!
//! A statement holds for the incarnation that made it, on the VM that received it, whatever the
//! store says or whether it can be reached. See docs/DATAPATH.md, "Statements of upstreams".

use clock::Millis;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use steering::routing::Upstream;

/// The longest pause that an upstream may request; longer ones are shortened to it.
const MAX_PAUSE: Millis = Millis::from_secs(600);
/// How long a statement is kept after the upstream's entry was removed. An entry may lapse and be
/// renewed by the same incarnation.
const RETENTION: Millis = MAX_PAUSE;

/// What one incarnation of an upstream has stated.
#[derive(Debug, Default)]
pub struct Statement {
    leaving: Cell<bool>,
    paused_until: Cell<Millis>,
}

impl Statement {
    /// Records that the upstream leaves; returns whether that is new.
    pub fn record_leaving(&self) -> bool {
        !self.leaving.replace(true)
    }

    /// Records that the upstream wants no requests for `span` from `now` on; returns whether it was
    /// not paused before.
    pub fn record_pause(&self, span: Millis, now: Millis) -> bool {
        let was_paused = self.is_paused(now);
        let until = now + span.min(MAX_PAUSE);
        self.paused_until.set(self.paused_until.get().max(until));
        !was_paused
    }

    /// Whether the upstream leaves, and so takes no more requests.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Whether the upstream wants no requests at `now`.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until.get()
    }

    /// The end of the upstream's latest pause.
    pub fn paused_until(&self) -> Millis {
        self.paused_until.get()
    }
}

#[derive(Debug)]
struct Known {
    incarnation: u64,
    statement: Rc<Statement>,
    /// When the upstream was last in use.
    used: Millis,
}

/// The statements of all upstreams, also of those that were in use a while ago.
#[derive(Debug, Default)]
pub struct Statements {
    by_id: HashMap<Arc<str>, Known>,
}

impl Statements {
    /// The statement of the incarnation that `entry` describes.
    pub fn of(&mut self, entry: &Upstream, now: Millis) -> Rc<Statement> {
        let incarnation = entry.incarnation;
        let new = || Known { incarnation, statement: Rc::default(), used: now };
        let known = self.by_id.entry(Arc::clone(&entry.id)).or_insert_with(new);
        if known.incarnation != incarnation {
            *known = new();
        }
        known.used = now;
        Rc::clone(&known.statement)
    }

    /// Drops the statements of upstreams that have not been in use for a long time.
    pub fn expire(&mut self, now: Millis) {
        self.by_id.retain(|_, known| now < known.used + RETENTION);
    }
}
