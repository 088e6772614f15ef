use super::{Coordinator, Limit, Reply, Report, Row, Term};
use clock::Millis;
use std::collections::BTreeSet;
use std::sync::Arc;

/// Time between two confirmations of the row.
const CONFIRM_INTERVAL: Millis = Millis::from_secs(5);
/// Time between two of them while no other VM is heard, as the reserve is served by either, and while
/// VMs that are not known may hold shares, as the row says for how long.
const SHORT_CONFIRM_INTERVAL: Millis = Millis(1_000);

/// What the coordinator does: it leases shares out while it confirms its row.
#[derive(Debug)]
pub struct Duty {
    coordinator: Coordinator,
    term: Term,
}

impl Duty {
    /// The duty that begins with the write of `row` after `last`, sent at `sent` and acknowledged at
    /// `now`.
    pub fn begin(last: Option<&Row>, row: Row, version: u64, sent: Millis, now: Millis) -> Duty {
        let (term, start) = Term::begin(last, row, version, sent, now);
        let coordinator = Coordinator::new(&term.row.vm, term.row.epoch, start, now);
        Duty { coordinator, term }
    }

    /// The row as last written.
    pub fn row(&self) -> &Row {
        &self.term.row
    }

    /// When the row was last confirmed.
    pub fn confirmed(&self) -> Millis {
        self.term.confirmed()
    }

    /// Whether the row is to be written again, with the VMs that are alive.
    pub fn is_confirmation_due(&self, live: &BTreeSet<Arc<str>>, now: Millis) -> bool {
        let is_lone = !self.coordinator.is_supported(now + SHORT_CONFIRM_INTERVAL);
        let is_short = is_lone || self.coordinator.unknown_for(now).is_some();
        let interval = if is_short { SHORT_CONFIRM_INTERVAL } else { CONFIRM_INTERVAL };
        now >= self.term.confirmed() + interval
            || self.coordinator.awaits_confirmation(now)
            || !live.is_subset(&self.term.row.names)
    }

    /// The coordinator.
    pub fn coordinator(&self) -> &Coordinator {
        &self.coordinator
    }

    /// Puts the limits of a configuration in force.
    pub fn configure<Limits>(&mut self, limits: Limits, now: Millis)
    where
        Limits: IntoIterator<Item = (u64, Limit)>,
    {
        self.coordinator.configure(limits, now);
    }

    /// Answers a report.
    pub fn receive(&mut self, report: &Report, now: Millis) -> Option<Reply> {
        let is_named = self.term.row.names.contains(&report.vm);
        let valid = self.term.valid(now);
        self.coordinator.support(self.term.confirmed(), self.term.is_alone());
        self.coordinator.receive(report, is_named, valid, now)
    }

    /// The row to write now, on which version, with the VMs that are alive. A VM that it no longer
    /// names gets no shares from now on, as the write may succeed without an answer.
    pub fn next_row(&mut self, live: BTreeSet<Arc<str>>, now: Millis) -> (Row, u64) {
        self.coordinator.support(self.term.confirmed(), self.term.is_alone());
        self.coordinator.expire(now);
        let mut row = self.term.row.clone();
        if self.coordinator.is_settled() {
            row.names = self.coordinator.names();
        }
        row.unknown_for = self.coordinator.unknown_for(now);
        row.unknown = row.unknown_for.is_some();
        row.givers = self.coordinator.givers();
        row.givers.insert(Arc::clone(&row.vm));
        row.names.extend(live);
        self.term.attempt(&row);
        (row, self.term.version)
    }

    /// Records that `row` was written with a call that was sent at `sent`.
    pub fn confirm(&mut self, row: Row, version: u64, sent: Millis) {
        self.term.confirm(row, version, sent);
    }

    /// The row by which this process stays the coordinator in a new era of the store, which came back
    /// with `last`; `None` if another process has become the coordinator in that era.
    pub fn claim(&mut self, last: Option<&Row>, era: u64, live: BTreeSet<Arc<str>>) -> Option<Row> {
        if last.is_some_and(|last| last.era == era || last.epoch > self.term.row.epoch) {
            return None;
        }
        let own = &self.term.row;
        let mut row = Term::claim(last, era, &own.vm, own.process);
        row.address = own.address;
        row.names.extend(own.names.iter().cloned().chain(self.coordinator.names()).chain(live));
        row.givers.extend(self.coordinator.givers());
        self.term.attempt(&row);
        Some(row)
    }

    /// Goes on in a new era, after the row of [`Duty::claim`] was written. Another process may have
    /// become the coordinator in the part of the store's history that was lost, unless all VMs that
    /// the row names are heard.
    pub fn advance(&mut self, row: Row, version: u64, sent: Millis, now: Millis) {
        let lease_end = now + self.term.valid(now);
        self.coordinator.support(self.term.confirmed(), self.term.is_alone());
        let unknown_until = now + row.unknown_for.unwrap_or_default();
        self.coordinator.advance(row.epoch, row.names.clone(), lease_end, unknown_until, now);
        self.term.confirm(row, version, sent);
    }
}
