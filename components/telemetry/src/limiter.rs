use clock::Millis;
use std::sync::Mutex;

const WINDOW: Millis = Millis::from_secs(1);

/// Limits how many lines are logged in a second, and counts those that are not.
#[derive(Debug)]
pub struct Limiter {
    rate: u32,
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    start: Millis,
    admitted: u32,
    suppressed: u64,
}

/// Whether a line may be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Admitted {
        /// Lines suppressed since the last time that this was reported.
        suppressed: u64,
    },
    /// It may not; the limiter has counted it.
    Suppressed,
}

impl Limiter {
    /// Admits at most `rate` lines a second.
    pub fn new(rate: u32) -> Limiter {
        Limiter { rate, window: Mutex::default() }
    }

    /// Asks for one line at `now`.
    pub fn admit(&self, now: Millis) -> Admission {
        let mut window = self.window.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if now >= window.start + WINDOW {
            window.start = now;
            window.admitted = 0;
        }
        if window.admitted >= self.rate {
            window.suppressed += 1;
            return Admission::Suppressed;
        }
        window.admitted += 1;
        Admission::Admitted { suppressed: std::mem::take(&mut window.suppressed) }
    }
}
