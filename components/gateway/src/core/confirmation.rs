//! How old this VM's copies of the store's rows are, and what it may do by them.

use super::Core;
use clock::Millis;
use steering::catalogue::{Feed, Position, REWRITE_GRACE};
use steering::staleness;
use steering::withdrawal::View as KeyView;

/// When the store confirmed that a copy was up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The era of the copy.
    pub era: u64,
    /// When it was up to date.
    pub when: Millis,
}

impl Core {
    /// The newest position of `feed` that this VM or a peer knows.
    pub fn newest_position(&self, feed: Feed) -> Position {
        self.catalogue.borrow().position(feed).max(self.newest_of_peers.get()[feed as usize])
    }

    /// Records that a peer has changes of `feed` up to `position`.
    pub fn record_peer_position(&self, feed: Feed, position: Position) {
        let mut newest = self.newest_of_peers.get();
        newest[feed as usize] = newest[feed as usize].max(position);
        self.newest_of_peers.set(newest);
    }

    /// Records that this VM's copy of `feed`, which is of `era`, was up to date at `when`.
    pub fn confirm(&self, feed: Feed, era: u64, when: Millis) {
        let mut confirmed = self.confirmed.get();
        if feed == Feed::Operators {
            let (mut known, now) = (self.key_confirmation.get(), self.clock.now());
            if known.record(era, when, now) {
                log::info!(
                    target: "belief", era = era, known = known.known().is_some(),
                    remaining_ms = known.remaining(now).0;
                    "an era of the store is new to this VM; its copy may lack withdrawals of keys"
                );
                self.era_began.notify_one();
            }
            self.key_confirmation.set(known);
        }
        let known = confirmed[feed as usize];
        confirmed[feed as usize] = match known {
            // What was acknowledged up to then stays known in the next era.
            Some(known) if known.when > when => Some(known),
            _ => Some(Confirmation { era, when }),
        };
        self.confirmed.set(confirmed);
    }

    /// As [`Core::confirmed_age`], but `None` unless the copy was confirmed in its own era, as peers
    /// of this era can't rely on it otherwise.
    pub fn claimed_age(&self, feed: Feed) -> Option<Millis> {
        let era = self.catalogue.borrow().position(feed).era;
        let confirmed = self.confirmed.get()[feed as usize]?;
        (confirmed.era == era).then(|| self.clock.now() - confirmed.when)
    }

    /// Time since this VM's copy of `feed` was last confirmed to be up to date.
    pub fn confirmed_age(&self, feed: Feed) -> Option<Millis> {
        self.confirmed.get()[feed as usize].map(|known| self.clock.now() - known.when)
    }

    /// What this VM knows of the keys in force.
    pub fn key_view(&self) -> KeyView {
        let feed = Feed::Operators;
        let known = self.catalogue.borrow().position(feed);
        KeyView {
            confirmed: self.key_confirmation.get().known(),
            is_behind: self.newest_position(feed) > known,
        }
    }

    /// Records that operators have written again what the store lacked at the beginning of `era`;
    /// `origin` is how this VM knows.
    pub fn settle_era(&self, era: u64, origin: &'static str) {
        let (mut known, now) = (self.key_confirmation.get(), self.clock.now());
        let remaining = known.remaining(now);
        known.settle(era, now);
        self.key_confirmation.set(known);
        if remaining > known.remaining(now) {
            log::info!(
                target: "belief", era = era, from = origin;
                "operators have written again in the store's era; its copy has all withdrawals"
            );
        }
    }

    /// Time for which the store may lack what operators wrote before it came back from an older copy,
    /// if this VM has nothing from before; zero otherwise.
    pub fn provisional_span(&self) -> Millis {
        let known = self.key_confirmation.get();
        let era = self.catalogue.borrow().position(Feed::Operators).era;
        match known.known() {
            Some(_) => Millis::ZERO,
            // A peer's copy, which isn't confirmed yet.
            None if era > known.era() => REWRITE_GRACE,
            None => known.remaining(self.clock.now()),
        }
    }

    /// Whether this VM would let a request run by a key now.
    pub fn serves_keys(&self) -> bool {
        let bound = self.settings().bounds.withdrawal;
        self.table.borrow().accounts().is_empty()
            || self.key_view().may_run(self.clock.now(), bound)
    }

    /// The ages of this VM's copy of `feed` at which it acts.
    pub fn staleness_limits(&self, feed: Feed) -> staleness::Limits {
        let bounds = self.settings().bounds;
        staleness::Limits::new(match feed {
            Feed::Operators => bounds.configuration,
            Feed::Upstreams => bounds.drain,
        })
    }

    /// Time until this VM's copy of `feed` has the given age, unless it is confirmed before.
    pub fn time_until_age(&self, feed: Feed, age: Millis) -> Millis {
        self.confirmed_age(feed).map_or(Millis::ZERO, |current| age - current)
    }
}
