//! Decides whether a VM knows the keys in force well enough to let a request run by one, or to
//! refuse a key.
//!
//! Operators may demand that no VM lets a request run that was sent later than a bound after the
//! store acknowledged that its key is withdrawn. A VM knows of all withdrawals up to the moment at
//! which its copy of the operators' rows was last confirmed to be up to date. A request that arrived
//! within the bound of that moment was sent within the bound of any later withdrawal, so it may run
//! at any time, whatever happens to the VM meanwhile. See docs/design/accounts.md.

use crate::catalogue::REWRITE_GRACE;
use clock::Millis;

/// The part of the bound, as a divisor, that is kept in reserve: a store that drops its history may
/// answer nothing for a moment while changes are made, and clocks run at slightly different speeds.
const RESERVE_DIVISOR: u64 = 5;
/// The part of the bound, as a divisor, for which a request for changes waits at most: a VM that is
/// cut off goes on for the rest of its [`reach`].
const POLL_DIVISOR: u64 = 6;
/// How long an era is settled before other VMs are told. It covers the time from a VM's request for a
/// copy to the moment at which the VM learns that the era is settled.
const SETTLED_MARGIN: Millis = Millis(1_000);

/// What a VM knows of the keys in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct View {
    /// All changes that the store acknowledged before this moment are known; `None` if the copy was
    /// never confirmed.
    pub confirmed: Option<Millis>,
    /// Whether a peer has changes that the copy lacks.
    pub is_behind: bool,
}

/// When a VM's copy of the operators' rows was confirmed, over the eras of the store. A store that has
/// come back from an older copy lacks what was acknowledged last until operators write it again, so
/// that a copy which it confirms before that may lack a withdrawal, also in a process that has just
/// started. See docs/design/eras.md.
#[derive(Clone, Copy, Debug, Default)]
pub struct Confirmation {
    era: u64,
    /// The first confirmation of the era that counts is of this moment or later.
    complete_from: Millis,
    /// The latest confirmation that counts.
    known: Option<Millis>,
    /// The latest confirmation of the era before `complete_from`.
    provisional: Option<Millis>,
    /// A later era in which operators have written again, and since when at the latest.
    settled: (u64, Millis),
}

impl Confirmation {
    /// Records at `now` that a copy of `era` was up to date at `when`. Returns whether this VM didn't
    /// know of the era.
    pub fn record(&mut self, era: u64, when: Millis, now: Millis) -> bool {
        let is_new = era > self.era;
        if is_new {
            self.era = era;
            self.provisional = None;
            self.complete_from = match self.settled {
                (settled, since) if settled == era => since,
                _ => now + REWRITE_GRACE,
            };
        }
        if era == self.era {
            let latest =
                if when < self.complete_from { &mut self.provisional } else { &mut self.known };
            *latest = (*latest).max(Some(when));
        }
        is_new
    }

    /// Records at `now` that [`Confirmation::is_settled`] holds for `era` at another VM, or held at an
    /// earlier moment.
    pub fn settle(&mut self, era: u64, now: Millis) {
        let since = now - SETTLED_MARGIN;
        if era > self.era {
            self.settled = (era, since);
        } else if era == self.era && since < self.complete_from {
            self.complete_from = since;
            self.known = self.known.max(self.provisional.filter(|when| *when >= since));
        }
    }

    /// Whether operators have had the time to write again in the era, and [`SETTLED_MARGIN`] more. Other
    /// VMs may rely on it, whenever they began to follow the era.
    pub fn is_settled(&self, now: Millis) -> bool {
        now >= self.complete_from + SETTLED_MARGIN
    }

    /// The era of the latest copy that was confirmed.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// The moment up to which all withdrawals are known.
    pub fn known(&self) -> Option<Millis> {
        self.known
    }

    /// Time until a confirmation in the era counts.
    pub fn remaining(&self, now: Millis) -> Millis {
        self.complete_from - now
    }
}

/// How long a request may arrive after the last confirmation to run by its key.
pub fn reach(bound: Millis) -> Millis {
    Millis(bound.0 - bound.0 / RESERVE_DIVISOR)
}

/// The longest wait of a request for changes.
pub fn poll_wait(bound: Millis) -> Millis {
    Millis(bound.0 / POLL_DIVISOR)
}

impl View {
    /// Whether a request that arrived at `arrived` may run by a key of this view, if a withdrawn key
    /// must not let requests run that are sent later than `bound` after its withdrawal. `None` is
    /// no such bound.
    pub fn may_run(&self, arrived: Millis, bound: Option<Millis>) -> bool {
        bound.is_none_or(|bound| self.is_confirmed_within(reach(bound), arrived))
    }

    /// Whether a key that this view lacks was in force nowhere when a request arrived at `arrived`,
    /// except for changes that may still take up to `bound` to be in force everywhere. Otherwise
    /// the key may be a new one.
    pub fn may_refuse(&self, arrived: Millis, bound: Millis) -> bool {
        !self.is_behind && self.is_confirmed_within(bound, arrived)
    }

    fn is_confirmed_within(&self, span: Millis, arrived: Millis) -> bool {
        self.confirmed.is_some_and(|confirmed| arrived <= confirmed + span)
    }
}
