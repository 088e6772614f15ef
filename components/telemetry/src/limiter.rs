use clock::Millis;
use std::sync::Mutex;

const WINDOW: Millis = Millis::from_secs(1);

/// Limits the number of log lines per second and counts the suppressed ones.
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
    /// The line may be logged.
    Admitted {
        /// Lines suppressed since the previous admitted line.
        suppressed: u64,
    },
    /// The line exceeds the rate and must not be logged; the limiter has counted it.
    Suppressed,
}

impl Limiter {
    /// Admits at most `rate` lines a second.
    pub fn new(rate: u32) -> Limiter {
        Limiter { rate, window: Mutex::default() }
    }

    /// Requests permission to log one line at the time `now`.
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
