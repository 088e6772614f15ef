//! Rate limits that one entry VM enforces by itself: requests and bytes in any second.
//!
//! Both limiters count requests or bytes when they admit them, so a cap may change at any time,
//! and a waiter that comes late or is cancelled never breaks the limit. See docs/LIMITS.md.

mod pacer;
mod usage;
mod window;

pub use pacer::{Pacer, Waiter};
pub use window::Window;

use clock::Millis;

/// A refusal by a limiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The time until a retry can succeed.
    pub wait: Millis,
}
