use crate::Kind;
use clock::Millis;
use serde::{Deserialize, Serialize};

/// What heatherbend knows about the execution of a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No upstream received the request, and none will.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
    /// An upstream ran the request.
    Ran,
}

impl Execution {
    /// The value of the `x-ran` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Execution::NotRun => "not_run",
            Execution::Unknown => "unknown",
            Execution::Ran => "ran",
        }
    }
}

/// How one kind of error is presented to callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Execution,
    /// How long to wait before a retry; `None` when a retry can't help.
    pub retry_after: Option<Millis>,
    /// The exit code of the command line.
    pub exit: u8,
}

const AFTER_1_S: Option<Millis> = Some(Millis::from_secs(1));
const AFTER_5_S: Option<Millis> = Some(Millis::from_secs(5));

const EXIT_BAD_INPUT: u8 = 2;
const EXIT_CONFLICT: u8 = 3;
const EXIT_NOT_RUN: u8 = 4;
const EXIT_UNKNOWN: u8 = 5;

/// How errors of `kind` are presented; docs/ERRORS.md has the same table.
pub const fn response(kind: Kind) -> Response {
    use Execution::{NotRun, Ran as Done, Unknown};
    match kind {
        Kind::Malformed => row(400, NotRun, None, EXIT_BAD_INPUT),
        Kind::TooLarge => row(413, NotRun, None, EXIT_BAD_INPUT),
        Kind::UnknownBlock => row(404, NotRun, None, EXIT_BAD_INPUT),
        Kind::UnknownService => row(404, NotRun, None, EXIT_BAD_INPUT),
        Kind::UnknownRoute => row(404, NotRun, None, EXIT_BAD_INPUT),
        Kind::HeadTooLarge => row(431, NotRun, None, EXIT_BAD_INPUT),
        Kind::SlowCaller => row(408, NotRun, None, EXIT_BAD_INPUT),
        Kind::ForgedToken => row(403, NotRun, None, EXIT_BAD_INPUT),
        Kind::Unauthorized => row(401, NotRun, None, EXIT_NOT_RUN),
        Kind::BadSettings => row(422, NotRun, None, EXIT_BAD_INPUT),
        Kind::Conflict => row(409, NotRun, None, EXIT_CONFLICT),
        Kind::Overloaded => row(503, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::ShiftCapped => row(503, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::NoUpstream => row(503, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::Leaving => row(503, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::NotReady => row(503, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::CapExceeded => row(429, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::CapUnknown => row(503, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::StaleView => row(503, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::PlatformDown => row(503, NotRun, AFTER_5_S, EXIT_NOT_RUN),
        Kind::DeadlineBeforeSend => row(504, NotRun, AFTER_1_S, EXIT_NOT_RUN),
        Kind::DeadlineAfterSend => row(504, Unknown, None, EXIT_UNKNOWN),
        Kind::UpstreamBroken => row(502, Unknown, None, EXIT_UNKNOWN),
        Kind::UpstreamShed => row(502, Unknown, AFTER_1_S, EXIT_UNKNOWN),
        Kind::OutcomeUnknown => row(502, Unknown, AFTER_5_S, EXIT_UNKNOWN),
        Kind::AlreadyRan => row(409, Done, None, EXIT_CONFLICT),
        Kind::OrderExpired => row(410, Unknown, None, EXIT_UNKNOWN),
        Kind::EntityChanged => row(502, Unknown, AFTER_1_S, EXIT_UNKNOWN),
        Kind::Fenced => row(409, NotRun, AFTER_1_S, EXIT_CONFLICT),
        Kind::Internal => row(500, Unknown, None, EXIT_UNKNOWN),
    }
}

const fn row(status: u16, ran: Execution, retry_after: Option<Millis>, exit: u8) -> Response {
    Response { status, ran, retry_after, exit }
}
