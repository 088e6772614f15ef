//! An in-memory platform into which faults can be injected.
//!
//! Tests, `heatherbend try` and the stand-in server share it, so that the platform's rules are
//! implemented only once.

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

    /// A client called `name`; [`Fault::Cut`] can make the platform unreachable for it alone.
    pub fn client(self: &Arc<Self>, name: &str) -> Arc<Client> {
        Arc::new(Client::new(Arc::clone(self), name.into()))
    }

    /// Adds `fault`, which lasts until [`Platform::clear_faults`] or, if counted, is used up.
    pub fn inject(&self, fault: Fault) {
        self.state().faults.push(fault);
    }

    /// Removes every fault.
    pub fn clear_faults(&self) {
        self.state().faults.clear();
    }

    /// Adds `vm` to the list or replaces its entry; clients see it after [`Fault::Lag`].
    pub fn register(&self, vm: ListedVm) {
        let now = self.clock.now();
        self.state().change(now, |vms| {
            vms.insert(Arc::clone(&vm.name), vm);
        });
    }

    /// Marks the VM `name` as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let now = self.clock.now();
        self.state().change(now, |vms| {
            if let Some(vm) = vms.get_mut(name) {
                vm.leaving = true;
            }
        });
    }

    /// Removes the VM `name` from the list.
    pub fn remove(&self, name: &str) {
        let now = self.clock.now();
        self.state().change(now, |vms| {
            vms.remove(name);
        });
    }

    /// The current list, without lag.
    pub fn machines(&self) -> Listing {
        self.state().listing(Millis::MAX)
    }

    /// The current row under `key`, whatever the faults.
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
