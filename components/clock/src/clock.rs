use crate::Millis;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that reads as milliseconds since the Unix epoch.
///
/// The epoch is read once and time advances with Tokio's timer, so a step of the VM's wall clock
/// never moves a lease, and `tokio::time::pause` makes the clock virtual in tests.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    epoch: Millis,
}

impl Clock {
    /// A clock anchored at the VM's wall clock.
    pub fn system() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock::at(Millis(since_epoch.as_millis() as u64))
    }

    /// A clock that reads `epoch` now, for tests and experiments in virtual time.
    pub fn at(epoch: Millis) -> Clock {
        Clock { origin: Instant::now(), epoch }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.epoch + Millis(self.origin.elapsed().as_millis() as u64)
    }

    /// Waits for `span`.
    pub async fn sleep(&self, span: Millis) {
        tokio::time::sleep(span.duration()).await;
    }

    /// Waits until `when`; returns at once if it has passed.
    pub async fn sleep_until(&self, when: Millis) {
        self.sleep(when - self.now()).await;
    }
}
