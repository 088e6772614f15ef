use errors::{Error, Kind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::Notify;

/// Counts the requests in flight and refuses new ones once the VM is shutting down.
#[derive(Default)]
pub(crate) struct RequestTracker {
    shutting_down: AtomicBool,
    in_flight: AtomicUsize,
    idle: Notify,
}

/// Counts one request as in flight until it is dropped.
pub(crate) struct RequestGuard {
    tracker: Arc<RequestTracker>,
}

impl RequestTracker {
    /// Counts a request as in flight, or refuses it if the VM is shutting down.
    ///
    /// The request is counted before the flag is read, so that a concurrent shutdown either waits
    /// for the request or refuses it.
    pub(crate) fn enter(self: &Arc<Self>) -> Result<RequestGuard, Error> {
        let guard = self.enter_during_shutdown();
        if self.is_shutting_down() {
            return Err(Error::new(Kind::Leaving, "this VM is shutting down"));
        }
        Ok(guard)
    }

    /// Counts a request as in flight even during shutdown: it may only need the outcome of an order
    /// that has already run.
    pub(crate) fn enter_during_shutdown(self: &Arc<Self>) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        RequestGuard { tracker: Arc::clone(self) }
    }

    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::SeqCst)
    }

    pub(crate) fn start_shutdown(&self) {
        self.shutting_down.store(true, Ordering::SeqCst);
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

impl Drop for RequestGuard {
    fn drop(&mut self) {
        if self.tracker.in_flight.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.tracker.idle.notify_waiters();
        }
    }
}
