//! An in-memory platform whose faults can be commanded.
//!
//! Tests, `heatherbend try` and the stand-in server share it, so the platform's rules stand once.

mod client;
mod fault;
mod state;

pub use client::Client;
pub use fault::Fault;
pub use state::Count;

use crate::{ListedVm, Listing, Row};
use clock::{Clock, Millis};
use state::State;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The in-memory platform.
pub struct Platform {
    clock: Clock,
    state: Mutex<State>,
}

impl Platform {
    /// An empty platform without faults.
    pub fn new(clock: Clock) -> Arc<Platform> {
        Arc::new(Platform { clock, state: Mutex::new(State::default()) })
    }

    /// The platform as the client `name` sees it; faults can be limited to one client.
    pub fn client(self: &Arc<Self>, name: &str) -> Arc<Client> {
        Arc::new(Client::new(Arc::clone(self), name.into()))
    }

    /// Adds `fault`; it lasts until it is spent or [`Platform::clear_faults`] is called.
    pub fn inject(&self, fault: Fault) {
        self.state().faults.push(fault);
    }

    /// Ends every fault.
    pub fn clear_faults(&self) {
        self.state().faults.clear();
    }

    /// Lists `machine`, or replaces its entry; the list shows it after the lag in force.
    pub fn register(&self, machine: ListedVm) {
        let now = self.clock.now();
        self.state().change(now, |machines| {
            machines.insert(Arc::clone(&machine.name), machine);
        });
    }

    /// Marks the machine `name` as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let now = self.clock.now();
        self.state().change(now, |machines| {
            if let Some(machine) = machines.get_mut(name) {
                machine.leaving = true;
            }
        });
    }

    /// Removes the machine `name`: it is gone for good.
    pub fn remove(&self, name: &str) {
        let now = self.clock.now();
        self.state().change(now, |machines| {
            machines.remove(name);
        });
    }

    /// The list as it truly is, without lag.
    pub fn machines(&self) -> Listing {
        self.state().listing(Millis::MAX)
    }

    /// The row under `key` as it truly is.
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state().rows.get(key).cloned()
    }

    /// Operations that the platform has carried out so far.
    pub fn count(&self) -> Count {
        self.state().count
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
