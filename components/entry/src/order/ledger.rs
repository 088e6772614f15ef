use super::outcome::Outcome;
use clock::Millis;
use errors::{Error, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

/// The orders that this incarnation has received, until they expire.
///
/// An order could run twice if its id were removed before it expires, so a full ledger refuses new
/// orders instead.
pub(crate) struct Ledger {
    capacity: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Orders that expired before this time are removed.
    expired_before: Millis,
    records: BTreeMap<Arc<str>, Arc<SharedRecord>>,
    expiries: BTreeSet<Expiry>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Millis,
    id: Arc<str>,
}

/// The record of one order. Only the task that holds its lock may send the order.
pub(crate) type SharedRecord = tokio::sync::Mutex<Record>;

/// The state of one order.
#[derive(Default)]
pub(crate) struct Record {
    pub(crate) phase: Phase,
    pub(crate) transactions: ClaimTransactions,
}

/// The progress of an order.
#[derive(Default)]
pub(crate) enum Phase {
    /// No byte of the order was sent.
    #[default]
    Unsent,
    /// Bytes of the order may have been sent. Seen by another task only if the sending task stopped
    /// without recording an outcome.
    Sent,
    /// The order ended with this outcome.
    Ended(Outcome),
}

/// The transactions by which this incarnation tried to claim one order.
#[derive(Clone, Default)]
pub(crate) struct ClaimTransactions(Arc<Mutex<Vec<Arc<str>>>>);

impl ClaimTransactions {
    pub(crate) fn push(&self, transaction: &Arc<str>) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(Arc::clone(transaction));
    }

    pub(crate) fn contains(&self, transaction: &Arc<str>) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(transaction)
    }
}

impl Ledger {
    pub(crate) fn new(capacity: usize) -> Ledger {
        Ledger { capacity, state: Mutex::default() }
    }

    /// The record of the order `id`, created if it is new and kept until `expiry` has passed.
    ///
    /// # Errors
    ///
    /// [`Kind::OrderExpired`] if a record of the order may have been removed already,
    /// [`Kind::Overloaded`] if the ledger is full of unexpired orders.
    pub(crate) fn record(
        &self,
        id: &Arc<str>,
        expiry: Millis,
        now: Millis,
    ) -> Result<Arc<SharedRecord>, Error> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.remove_expired(now);
        // `now` may be outdated, since this thread may have been paused, so the expiry is compared
        // under the lock with the latest time that the ledger has seen.
        if expiry < state.expired_before {
            return Err(Error::new(Kind::OrderExpired, "the order's id is too old"));
        }
        if let Some(record) = state.records.get(id) {
            return Ok(Arc::clone(record));
        }
        if state.records.len() >= self.capacity {
            return Err(Error::new(Kind::Overloaded, "the ledger of unexpired orders is full"));
        }
        let record: Arc<SharedRecord> = Arc::default();
        state.records.insert(Arc::clone(id), Arc::clone(&record));
        state.expiries.insert(Expiry { at: expiry, id: Arc::clone(id) });
        Ok(record)
    }

    /// Whether the ledger has a record of the order `id`.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).records.contains_key(id)
    }
}

impl State {
    fn remove_expired(&mut self, now: Millis) {
        self.expired_before = self.expired_before.max(now);
        while let Some(first) = self.expiries.first() {
            if first.at >= self.expired_before {
                return;
            }
            let expired = self.expiries.pop_first();
            if let Some(expired) = expired {
                self.records.remove(&expired.id);
            }
        }
    }
}
