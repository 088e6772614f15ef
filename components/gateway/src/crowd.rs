//! The limit of a listener's connections. A new connection takes the place of the one that has been
//! idle for longest.

use clock::Millis;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The connections of a listener.
#[derive(Debug, Default)]
pub struct Crowd {
    next: Cell<u64>,
    places: RefCell<BTreeMap<u64, Rc<Place>>>,
}

/// The state of one connection.
#[derive(Debug)]
pub struct Place {
    /// Since when no request is in flight; `None` while one is.
    idle_since: Cell<Option<Millis>>,
    is_evicted: Cell<bool>,
    evicted: Notify,
}

/// A connection, until it is dropped.
#[derive(Debug)]
pub struct Guest {
    crowd: Rc<Crowd>,
    number: u64,
    /// The state of the connection.
    pub place: Rc<Place>,
}

impl Crowd {
    /// Admits a new connection; `None` if there are `limit` and each has a request in flight.
    pub fn admit(self: &Rc<Crowd>, limit: usize, now: Millis) -> Option<Guest> {
        if self.places.borrow().len() >= limit {
            self.evict()?;
        }
        let number = self.next.get();
        self.next.set(number + 1);
        let place = Rc::new(Place {
            idle_since: Cell::new(Some(now)),
            is_evicted: Cell::default(),
            evicted: Notify::new(),
        });
        self.places.borrow_mut().insert(number, Rc::clone(&place));
        Some(Guest { crowd: Rc::clone(self), number, place })
    }

    fn evict(&self) -> Option<()> {
        let mut places = self.places.borrow_mut();
        let idle = places
            .iter()
            .filter_map(|(number, place)| place.idle_since.get().map(|since| (since, *number)));
        let (_, number) = idle.min()?;
        let place = places.remove(&number)?;
        place.is_evicted.set(true);
        place.evicted.notify_one();
        Some(())
    }
}

impl Place {
    /// Records that a request is in flight.
    pub fn begin(&self) {
        self.idle_since.set(None);
    }

    /// Records that no request is in flight any more.
    pub fn end(&self, now: Millis) {
        self.idle_since.set(Some(now));
    }

    /// Waits until the connection has to make room for another.
    pub async fn evicted(&self) {
        while !self.is_evicted.get() {
            self.evicted.notified().await;
        }
    }
}

impl Drop for Guest {
    fn drop(&mut self) {
        self.crowd.places.borrow_mut().remove(&self.number);
    }
}
