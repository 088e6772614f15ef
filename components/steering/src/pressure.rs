//! Whether a VM lacks processor time, told by how late its timers fire.
//!
//! Lateness is what callers feel, whatever takes the processor's time. See docs/DATAPATH.md,
//! "Look-ups".

use clock::Millis;

/// Lateness of a timer that callers would notice beside the round trip to them.
const LATE: Millis = Millis(20);
/// Late timers in a row that are no accident.
const IN_A_ROW: u32 = 3;
/// How long a VM counts as pressed afterwards, so that callers don't go to and fro.
const MEMORY: Millis = Millis(10_000);

/// The state of one VM.
#[derive(Debug, Default)]
pub struct Pressure {
    late: u32,
    until: Millis,
}

impl Pressure {
    /// Notes that a timer fired `late`; true if the VM counts as pressed.
    pub fn record(&mut self, late: Millis, now: Millis) -> bool {
        self.late = if late >= LATE { self.late + 1 } else { 0 };
        if self.late >= IN_A_ROW {
            self.until = now + MEMORY;
        }
        now < self.until
    }
}
