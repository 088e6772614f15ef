use crate::Millis;
use nix::time::{ClockId, clock_gettime};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// The longest time since the boot that the system was found to have been suspended for, in ms.
static LONGEST: AtomicU64 = AtomicU64::new(0);

/// Counts the time for which the VM is suspended, in which the monotonic clock stands still.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Suspension {
    /// The operating system's count.
    System,
    /// A count that a test increases.
    Simulated(&'static AtomicU64),
    /// A function of a test, called at each reading.
    Scripted(fn() -> u64),
}

impl Suspension {
    /// The time since the boot for which the VM was suspended.
    pub(crate) fn total(self) -> Millis {
        match self {
            Suspension::System => Millis(system()),
            Suspension::Simulated(total) => Millis(total.load(Ordering::Relaxed)),
            Suspension::Scripted(total) => Millis(total()),
        }
    }
}

/// The difference between the clock that counts suspensions and the monotonic one. The thread may be
/// interrupted between the two readings, which makes the difference too small but never too large.
fn system() -> u64 {
    let since_boot = read(ClockId::CLOCK_BOOTTIME);
    let running = read(ClockId::CLOCK_MONOTONIC);
    let suspended = since_boot.saturating_sub(running).as_millis() as u64;
    LONGEST.fetch_max(suspended, Ordering::Relaxed).max(suspended)
}

/// Reads a clock; zero if the system lacks it, so that no suspension is counted.
fn read(clock: ClockId) -> Duration {
    clock_gettime(clock).map_or(Duration::ZERO, Duration::from)
}
