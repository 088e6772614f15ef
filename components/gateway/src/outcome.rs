//! Results of single attempts, and what they imply about the execution of the request.

use crate::reply::Reply;

/// Result of one attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The upstream sent a valid response, other than one that rejects the request.
    Response(Reply),
    /// The attempt failed.
    Failed(Cause),
    /// The deadline passed after sending began; the upstream may have executed the request.
    TimedOut,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// No connection could be opened.
    Connect,
    /// The deadline passed before anything was sent.
    Deadline,
    /// Before anything was sent, the caller disconnected.
    CallerLeft,
    /// Before anything was sent, the upstream's entry was removed or replaced, or it stated that it
    /// takes no requests.
    UpstreamLeft,
    /// Before anything was sent, a configuration came into force that does not allow the upstream's
    /// region.
    OutsideRegions,
    /// Before anything was sent, a configuration came into force in which no account has the key.
    KeyWithdrawn,
    /// Before anything was sent, a check showed that the address belongs to another upstream now.
    Replaced,
    /// Before anything was sent, a check did not show whether the address belongs to the upstream.
    Unidentified,
    /// Before anything was sent, the upstream did not respond to a check.
    CheckTimeout,
    /// The address belongs to another upstream now (status 421).
    Misdirected,
    /// The upstream shed the request, stating that it did not execute it.
    Shed,
    /// The connection was closed before the response.
    Closed,
    /// The connection was reset before the response.
    Reset,
    /// The upstream's host did not acknowledge the request.
    Silent,
    /// The connection ended within the response's head.
    HeadTruncated,
    /// The bytes received are not a valid response.
    Malformed,
    /// A successful response had no signature of the upstream.
    Unsigned,
    /// Status 408, 429 or 503 without the header that states that the request was not executed.
    Refused,
    /// The response came before the whole request was sent.
    EarlyResponse,
    /// The connection ended within the response's body.
    BodyTruncated,
}

/// Whether the request was executed in a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No byte was sent.
    NotSent,
    /// The upstream states that it did not execute the request.
    NotRun,
    /// The upstream may have executed the request.
    Unknown,
}

impl Cause {
    /// What the failure implies about the execution of the request.
    pub const fn execution(self) -> Execution {
        match self {
            Cause::Connect
            | Cause::Deadline
            | Cause::CallerLeft
            | Cause::UpstreamLeft
            | Cause::OutsideRegions
            | Cause::KeyWithdrawn
            | Cause::Replaced
            | Cause::Unidentified
            | Cause::CheckTimeout => Execution::NotSent,
            Cause::Misdirected | Cause::Shed => Execution::NotRun,
            Cause::Closed
            | Cause::Reset
            | Cause::Silent
            | Cause::HeadTruncated
            | Cause::Malformed
            | Cause::Unsigned
            | Cause::Refused
            | Cause::EarlyResponse
            | Cause::BodyTruncated => Execution::Unknown,
        }
    }

    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Cause::Connect => "connect",
            Cause::Deadline => "deadline",
            Cause::CallerLeft => "caller left",
            Cause::UpstreamLeft => "left",
            Cause::OutsideRegions => "outside the regions",
            Cause::KeyWithdrawn => "key withdrawn",
            Cause::Replaced => "replaced",
            Cause::Unidentified => "not identified",
            Cause::CheckTimeout => "no response to a check",
            Cause::Misdirected => "another upstream",
            Cause::Shed => "shed",
            Cause::Closed => "closed",
            Cause::Reset => "reset",
            Cause::Silent => "not acknowledged",
            Cause::HeadTruncated => "truncated",
            Cause::Malformed => "garbage",
            Cause::Unsigned => "no signature",
            Cause::Refused => "refused without a statement",
            Cause::EarlyResponse => "answered early",
            Cause::BodyTruncated => "body broken off",
        }
    }
}
