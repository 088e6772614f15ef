//! Detects CPU pressure on a VM by the delay of its timers.
//!
//! Callers feel that delay, whatever uses up the CPU. See docs/DATAPATH.md, "Look-ups".

use clock::Millis;

/// Delay of a timer that callers would notice on top of their round trip.
const NOTICEABLE_DELAY: Millis = Millis(20);
/// Consecutive late timers that count as CPU pressure.
const MIN_LATE_TIMERS: u32 = 3;
/// How long the VM then stays under CPU pressure, so that callers don't move back and forth.
const HOLD_TIME: Millis = Millis(10_000);

/// Detector for one VM.
#[derive(Debug, Default)]
pub struct Pressure {
    late_timers: u32,
    until: Millis,
}

impl Pressure {
    /// Records the `delay` of a timer; returns whether the VM is under CPU pressure.
    pub fn record(&mut self, delay: Millis, now: Millis) -> bool {
        self.late_timers = if delay >= NOTICEABLE_DELAY { self.late_timers + 1 } else { 0 };
        if self.late_timers >= MIN_LATE_TIMERS {
            self.until = now + HOLD_TIME;
        }
        now < self.until
    }
}
