use errors::{Error, Kind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Counts the requests in flight and shuts the way in when the VM leaves.
#[derive(Default)]
pub(crate) struct Gate {
    leaving: AtomicBool,
    in_flight: AtomicUsize,
    idle: Notify,
}

/// One request in flight; it ends when this is dropped.
pub(crate) struct Pass {
    gate: Arc<Gate>,
}

impl Gate {
    /// Lets a request in, unless the VM is leaving.
    ///
    /// The request counts before the flag is read, so a stop either sees it or refuses it.
    pub(crate) fn enter(self: &Arc<Self>) -> Result<Pass, Error> {
        let pass = self.enter_leaving();
        if self.is_leaving() {
            return Err(Error::new(Kind::Leaving, "this VM is shutting down"));
        }
        Ok(pass)
    }

    /// Lets a request in that needs no new work, such as the repeat of a finished order.
    pub(crate) fn enter_leaving(self: &Arc<Self>) -> Pass {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        Pass { gate: Arc::clone(self) }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    /// Waits until no request is in flight.
    pub(crate) async fn wait_idle(&self) {
        loop {
            let idle = self.idle.notified();
            if self.in_flight() == 0 {
                return;
            }
            idle.await;
        }
    }
}

impl Drop for Pass {
    fn drop(&mut self) {
        if self.gate.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.gate.idle.notify_waiters();
        }
    }
}
