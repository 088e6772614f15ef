use crate::Millis;
use crate::suspension::Suspension;
use std::sync::atomic::AtomicU64;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that reads as milliseconds since the Unix epoch.
///
/// The wall clock is read once; after that the time advances with Tokio's timer, and by the time for
/// which the VM is suspended. A step of the VM's wall clock therefore never moves a lease,
/// `tokio::time::pause` gives virtual time, and a VM that wakes up knows how old its state is.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    epoch: Millis,
    suspension: Suspension,
    /// The time for which the VM had been suspended at the origin.
    suspended_before: Millis,
}

impl Clock {
    /// A clock that starts at the VM's wall-clock time.
    pub fn system() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::at(Millis(since_epoch.as_millis() as u64))
    }

    /// A clock that reads `epoch` now, for tests and experiments in virtual time.
    pub fn at(epoch: Millis) -> Clock {
        Clock::new(epoch, Suspension::System)
    }

    /// The same clock on a VM that is suspended whenever `total` increases, by as many ms.
    pub fn with_suspension(self, total: &'static AtomicU64) -> Clock {
        Clock::new(self.now(), Suspension::Simulated(total))
    }

    /// The same clock on a VM that has been suspended for as many ms as `total` returns at each
    /// reading, so that a test can suspend it between any two readings.
    pub fn with_scripted_suspension(self, total: fn() -> u64) -> Clock {
        Clock::new(self.now(), Suspension::Scripted(total))
    }

    fn new(epoch: Millis, suspension: Suspension) -> Clock {
        let suspended_before = suspension.total();
        Clock { origin: Instant::now(), epoch, suspension, suspended_before }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        let running = Millis(self.origin.elapsed().as_millis() as u64);
        self.epoch + running + (self.suspension.total() - self.suspended_before)
    }

    /// Waits for `span`, without the time for which the VM is suspended.
    pub async fn sleep(&self, span: Millis) {
        tokio::time::sleep(span.duration()).await;
    }

    /// Waits until `when`; returns at once if that has passed.
    pub async fn sleep_until(&self, when: Millis) {
        self.sleep(when - self.now()).await;
    }
}
