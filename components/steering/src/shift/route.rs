/// Where a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// To a region that serves this position already.
    Stay(u16),
    /// To `to`, where the position has moved; to `old` if more arrives than `to` is warm for.
    ///
    /// Callers that renew at another node bring it traffic that it hasn't moved itself.
    Moved {
        /// The region that serves the position.
        to: u16,
        /// The region that served it before the shift; `None` if it is lost.
        old: Option<u16>,
    },
    /// To `to` if the shift limiter admits it there; else to `old`, if that can still serve.
    Move {
        /// The region that is to serve the position.
        to: u16,
        /// The region that serves it until then; `None` if it is lost.
        old: Option<u16>,
    },
    /// To the region that serves it until its turn to move comes.
    Wait(u16),
    /// Nowhere yet: the region that served the position is lost and its turn to move hasn't come.
    Held,
    /// Nowhere: every region is lost.
    Lost,
}
