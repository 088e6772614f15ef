use super::term::SPEED_MARGIN;
use super::{Start, TOKEN_SPAN};
use clock::Millis;
use std::collections::BTreeSet;
use std::sync::Arc;

/// How long the coordinator gives tokens of the reserve after a moment at which it was certainly not
/// replaced, or another VM followed it. A successor that was heard by all others may then do so.
const SUPPORT_SPAN: Millis = Millis(1_500);
/// Time after the opening of the reserve in which requests wait for its tokens: it starts empty, and
/// many callers come back at once.
const FILL_SPAN: Millis = Millis(1_500);

/// What a coordinator may use of what its predecessors may have leased out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing: a predecessor may still give tokens of the reserve.
    Closed,
    /// What is never leased out.
    Reserve,
    /// All that no holder has reported.
    Settled,
}

impl Phase {
    /// The name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Phase::Closed => "closed",
            Phase::Reserve => "reserve",
            Phase::Settled => "settled",
        }
    }
}

/// What a coordinator knows of other processes that may act as one.
#[derive(Debug)]
pub struct Succession {
    vm: Arc<str>,
    /// What is still held of earlier epochs by VMs that were not heard.
    start: Option<Start>,
    /// When the last token that a predecessor gave has lapsed, if none gives any more.
    reserve_from: Option<Millis>,
    doubt: Option<Doubt>,
    phase: Phase,
    /// When the phase was last closed.
    opened: Millis,
    /// The latest moment at which another VM is known to have followed this epoch, or the row to have
    /// named it.
    supported: Millis,
    /// The latest moment at which the row is known to have named this coordinator.
    confirmed: Millis,
    /// Whether the row names no other VM.
    pub is_alone: bool,
}

/// A time in which another process may have become the coordinator without a trace in the store.
#[derive(Debug)]
struct Doubt {
    /// The VMs that may follow that one.
    names: BTreeSet<Arc<str>>,
    /// Until when that one certainly gives no tokens of the reserve.
    reserve_end: Millis,
    /// Until when that one certainly leases nothing out.
    lease_end: Millis,
    /// When all its leases have ended.
    until: Millis,
}

impl Succession {
    /// What the coordinator on `vm` knows at first.
    pub fn new(vm: &Arc<str>, start: Start) -> Succession {
        Succession {
            vm: Arc::clone(vm),
            start: Some(start),
            reserve_from: None,
            doubt: None,
            phase: Phase::Closed,
            opened: Millis::ZERO,
            supported: Millis::ZERO,
            confirmed: Millis::ZERO,
            is_alone: false,
        }
    }

    /// What may be used, as of the latest [`Succession::settle`].
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether nothing is held any more of earlier epochs but what holders have reported, and no other
    /// process can act.
    pub fn is_settled(&self) -> bool {
        self.start.is_none() && self.doubt.is_none()
    }

    /// The VMs that may hold shares of other epochs.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        let awaited = self.start.iter().flat_map(|start| &start.names);
        awaited.chain(self.doubt.iter().flat_map(|doubt| &doubt.names))
    }

    /// The VMs of predecessors that may still give tokens of the reserve.
    pub fn givers(&self) -> BTreeSet<Arc<str>> {
        self.start.iter().flat_map(|start| &start.givers).cloned().collect()
    }

    /// Whether a VM that is not known may hold shares, and until when.
    pub fn awaits(&self, vm: &str, now: Millis) -> Option<Millis> {
        let start = self.start.as_ref()?;
        let is_awaited = now < start.until && (start.is_unknown(now) || start.names.contains(vm));
        is_awaited.then_some(start.until)
    }

    /// Until when VMs that are not known may hold shares; `None` if there are none.
    pub fn unknown_until(&self, now: Millis) -> Option<Millis> {
        let started = self.start.as_ref().and_then(|start| start.unknown_until);
        let doubted = self.doubt.as_ref().map(|doubt| doubt.until);
        started.max(doubted).filter(|until| now < *until)
    }

    /// How long nothing may be used, whichever VMs are heard.
    pub fn closed_for(&self, now: Millis) -> Millis {
        let start = self.start.as_ref().filter(|_| self.phase == Phase::Closed);
        start.and_then(|start| start.unknown_until).map_or(Millis::ZERO, |until| until - now)
    }

    /// Until when shares may be used at most.
    pub fn lease_end(&self) -> Millis {
        self.doubt.as_ref().map_or(Millis::MAX, |doubt| doubt.lease_end)
    }

    /// Notes that `vm` follows this epoch, and did so at `echo`.
    pub fn hear(&mut self, vm: &str, echo: Millis, is_named: bool) {
        if let Some(doubt) = &mut self.doubt {
            doubt.names.remove(vm);
            if doubt.names.is_empty() {
                self.doubt = None;
            }
        }
        if is_named && vm != self.vm.as_ref() {
            self.support(echo);
        }
    }

    /// Notes that `vm` has reported all that it holds, and no longer acts for an earlier epoch.
    pub fn admit(&mut self, vm: &str) {
        if let Some(start) = &mut self.start {
            start.names.remove(vm);
            start.givers.remove(vm);
        }
    }

    /// Notes that the row named this coordinator at `when`.
    pub fn confirm(&mut self, when: Millis) {
        self.confirmed = self.confirmed.max(when);
        self.support(when);
    }

    /// The latest moment up to `now` at which no successor can have renewed leases.
    pub fn certain(&self, now: Millis) -> Millis {
        now.min(self.confirmed)
    }

    /// When leases of earlier epochs end that may be in use.
    pub fn ends(&self) -> impl Iterator<Item = Millis> {
        self.start.iter().flat_map(|start| start.unknown_until.into_iter().chain([start.until]))
    }

    /// Notes that this coordinator was not replaced at `when`.
    fn support(&mut self, when: Millis) {
        self.supported = self.supported.max(when);
    }

    /// Whether no successor can have opened the reserve.
    pub fn is_supported(&self, now: Millis) -> bool {
        self.is_alone || now < self.supported + SUPPORT_SPAN
    }

    /// Whether the reserve was opened a short time ago.
    pub fn is_filling(&self, now: Millis) -> bool {
        now < self.opened + FILL_SPAN
    }

    /// Begins a time of doubt: until all of `names` are heard in a new epoch, another process may have
    /// become the coordinator before, whose leases end at `until`. This one leases nothing out until
    /// `lease_end`.
    pub fn doubt(&mut self, names: BTreeSet<Arc<str>>, lease_end: Millis, until: Millis) {
        let support_end = self.supported + SUPPORT_SPAN;
        let reserve_end = if self.is_alone { lease_end } else { support_end.min(lease_end) };
        let doubt = Doubt { names, reserve_end, lease_end, until };
        self.doubt = Some(match self.doubt.take() {
            None => doubt,
            Some(earlier) => Doubt {
                reserve_end: doubt.reserve_end.min(earlier.reserve_end),
                lease_end: doubt.lease_end.min(earlier.lease_end),
                ..doubt
            },
        });
        self.supported = Millis::ZERO;
    }

    /// Whether a time of doubt ends without certainty, so that all shares have lapsed.
    pub fn has_lapsed(&mut self, now: Millis) -> bool {
        let Some(doubt) = self.doubt.take_if(|doubt| now >= doubt.lease_end) else { return false };
        let Doubt { names, until, .. } = doubt;
        let givers = names.clone();
        let unknown_until = Some(until);
        self.start = Some(Start { names, givers, until, unknown_until, named_others: true });
        self.reserve_from = None;
        true
    }

    /// Ends the wait for shares of earlier epochs when none is left. Returns whether the phase changed.
    pub fn settle(&mut self, now: Millis) -> bool {
        let phase = self.next_phase(now);
        if phase == Phase::Settled {
            self.start = None;
        }
        if phase == self.phase {
            return false;
        }
        if self.phase == Phase::Closed {
            self.opened = now;
        }
        self.phase = phase;
        true
    }

    fn next_phase(&mut self, now: Millis) -> Phase {
        if self.doubt.as_ref().is_some_and(|doubt| now >= doubt.reserve_end) {
            return Phase::Closed;
        }
        let Some(start) = &self.start else { return Phase::Settled };
        let certain = self.certain(now);
        if certain >= start.until || (!start.is_unknown(certain) && start.names.is_empty()) {
            return Phase::Settled;
        }
        if start.is_unknown(certain) || !(start.givers.is_empty() || start.is_giver_alone()) {
            self.reserve_from = None;
            return Phase::Closed;
        }
        let mut wait = TOKEN_SPAN + SPEED_MARGIN;
        if !start.givers.is_empty() {
            wait = wait + SUPPORT_SPAN + SPEED_MARGIN;
        }
        let from = now + wait;
        let from = self.reserve_from.map_or(from, |known| known.min(from));
        self.reserve_from = Some(from);
        if now >= from { Phase::Reserve } else { Phase::Closed }
    }
}
