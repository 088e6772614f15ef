use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time (milliseconds since the Unix epoch) or a span, in milliseconds.
///
/// A single unit keeps deadlines comparable across VMs. Subtraction saturates at zero: after a
/// deadline there is no time left, rather than negative time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// A span of zero.
    pub const ZERO: Millis = Millis(0);
    /// A point in time that is never reached.
    pub const MAX: Millis = Millis(u64::MAX);

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Millis {
        Millis(secs * 1000)
    }

    /// Converts the span to the standard library's type.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl Add for Millis {
    type Output = Millis;
    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;
    fn sub(self, other: Millis) -> Millis {
        Millis(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
