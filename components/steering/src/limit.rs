//! Limits that one entry VM enforces alone: requests and bytes in any second.
//!
//! Both limiters count what was let through at the time it was let through, so a cap may change
//! in place and a late or cancelled waiter never breaks the bound. See docs/LIMITS.md.

mod log;
mod pacer;
mod window;

pub use pacer::{Pacer, Waiter};
pub use window::Window;

use clock::Millis;

/// A refusal by a limiter, with the earliest time worth asking again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// How long to wait before asking again.
    pub wait: Millis,
}
