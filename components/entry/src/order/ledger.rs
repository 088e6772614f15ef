use super::outcome::Outcome;
use clock::Millis;
use errors::{Error, Kind};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};

/// The orders that this incarnation has seen, until they expire.
///
/// An id is never forgotten before it expires, because forgetting it is what would let it run
/// again; a full ledger refuses new orders instead.
pub(crate) struct Ledger {
    capacity: usize,
    book: Mutex<Book>,
}

#[derive(Default)]
struct Book {
    /// Everything that expired before this is forgotten.
    horizon: Millis,
    slots: BTreeMap<Arc<str>, Arc<Slot>>,
    expiries: BTreeSet<Expiry>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Expiry {
    at: Millis,
    id: Arc<str>,
}

/// One order; whoever holds its lock is the only one who may send it.
pub(crate) type Slot = tokio::sync::Mutex<Record>;

/// What is known of one order.
#[derive(Default)]
pub(crate) struct Record {
    pub(crate) phase: Phase,
    pub(crate) trail: Trail,
}

/// How far an order has come.
#[derive(Default)]
pub(crate) enum Phase {
    /// Not a byte of it was sent.
    #[default]
    Unsent,
    /// A byte of it may have been sent, and whoever did so is gone.
    Sent,
    /// It ended.
    Ended(Outcome),
}

/// The transactions by which this incarnation tried to claim one order.
#[derive(Clone, Default)]
pub(crate) struct Trail(Arc<Mutex<Vec<Arc<str>>>>);

impl Trail {
    pub(crate) fn push(&self, transaction: &Arc<str>) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(Arc::clone(transaction));
    }

    pub(crate) fn contains(&self, transaction: &Arc<str>) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).contains(transaction)
    }
}

impl Ledger {
    pub(crate) fn new(capacity: usize) -> Ledger {
        Ledger { capacity, book: Mutex::default() }
    }

    /// The slot of the order `id`, made if it is new; it is kept until `expiry` has passed.
    ///
    /// # Errors
    ///
    /// [`Kind::OrderExpired`] if the order may have been forgotten already, [`Kind::Overloaded`] if
    /// the ledger is full of orders that haven't expired.
    pub(crate) fn slot(
        &self,
        id: &Arc<str>,
        expiry: Millis,
        now: Millis,
    ) -> Result<Arc<Slot>, Error> {
        let mut book = self.book.lock().unwrap_or_else(PoisonError::into_inner);
        book.forget(now);
        // Checked under the same lock, since a caller may have been paused since it read `now`.
        if expiry < book.horizon {
            return Err(Error::new(Kind::OrderExpired, "the order's id is too old"));
        }
        if let Some(slot) = book.slots.get(id) {
            return Ok(Arc::clone(slot));
        }
        if book.slots.len() >= self.capacity {
            return Err(Error::new(Kind::Overloaded, "no room to remember another order"));
        }
        let slot: Arc<Slot> = Arc::default();
        book.slots.insert(Arc::clone(id), Arc::clone(&slot));
        book.expiries.insert(Expiry { at: expiry, id: Arc::clone(id) });
        Ok(slot)
    }

    /// Whether the order `id` is remembered.
    pub(crate) fn knows(&self, id: &str) -> bool {
        self.book.lock().unwrap_or_else(PoisonError::into_inner).slots.contains_key(id)
    }
}

impl Book {
    fn forget(&mut self, now: Millis) {
        self.horizon = self.horizon.max(now);
        while let Some(first) = self.expiries.first() {
            if first.at >= self.horizon {
                return;
            }
            let expired = self.expiries.pop_first();
            if let Some(expired) = expired {
                self.slots.remove(&expired.id);
            }
        }
    }
}
