use crate::Millis;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that reads as milliseconds since the Unix epoch.
///
/// The wall clock is read once; after that the time advances with Tokio's timer. A step of the
/// VM's wall clock therefore never moves a lease, and `tokio::time::pause` gives virtual time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    epoch: Millis,
}

impl Clock {
    /// A clock that starts at the VM's wall-clock time.
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

    /// Waits until `when`; returns at once if that has passed.
    pub async fn sleep_until(&self, when: Millis) {
        self.sleep(when - self.now()).await;
    }
}
