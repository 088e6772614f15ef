/// Where a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To the region that already serves the position.
    Stay(u16),
    /// To `to`, where the position has moved, or to `old` while the limit on moved traffic is
    /// reached.
    ///
    /// Callers that renew their lease at another VM bring that VM traffic that it hasn't moved
    /// itself, so the traffic at a moved position can exceed what the caches of `to` are warm for.
    Moved {
        /// The region that serves the position.
        to: u16,
        /// The region that served it before the shift; `None` if that region can't serve it.
        old: Option<u16>,
    },
    /// To `to` if the shift cap admits it there, or else to `old`.
    Move {
        /// The region that the position moves to.
        to: u16,
        /// The region that serves it until then; `None` if that region can't serve it.
        old: Option<u16>,
    },
    /// To the region that serves the position until its batch moves.
    Wait(u16),
    /// Refused: the region that served the position can't serve it and its batch doesn't move yet.
    Blocked,
    /// Refused: every region is down.
    AllDown,
}
