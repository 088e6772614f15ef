use serde::{Deserialize, Serialize};
use std::fmt;

/// Every way in which heatherbend can fail, for callers, operators and peers alike.
///
/// The list is closed: [`crate::response`] covers each kind, so that every failure that reaches a
/// caller has a status, states whether the request ran, and gives a time to retry if that helps.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The message can't be parsed or lacks a field.
    Malformed,
    /// A header, body, token or message exceeds its size limit.
    TooLarge,
    /// No site has the caller's block.
    UnknownBlock,
    /// The deployment in force has no such service.
    UnknownService,
    /// No route matches the request's host and path.
    UnknownRoute,
    /// The head of the request is too large.
    HeadTooLarge,
    /// The request did not arrive in time.
    SlowCaller,
    /// The renewal token or order prefix wasn't issued by this system.
    ForgedToken,
    /// The key is missing or wrong.
    Unauthorized,
    /// The settings or declaration are invalid.
    BadSettings,
    /// Another operator's change was committed first; nothing was changed.
    Conflict,
    /// A region's, link's or service's limit is reached; the request wasn't sent.
    Overloaded,
    /// The destination is still warming up and its shift cap is reached; the request wasn't sent.
    ShiftCapped,
    /// No upstream can serve the request now; it wasn't sent.
    NoUpstream,
    /// This VM is shutting down and accepts no new requests.
    Leaving,
    /// This VM has no configuration yet.
    NotReady,
    /// The account's usage cap is reached; the request wasn't sent.
    CapExceeded,
    /// No VM can tell yet whether the account's usage cap is reached; the request wasn't sent.
    CapUnknown,
    /// This VM's copy of the configuration is too old to tell whether the key is still in force.
    StaleView,
    /// The platform can't be reached and the request needs it; the request wasn't sent.
    PlatformDown,
    /// The deadline passed before the request was sent.
    DeadlineBeforeSend,
    /// The deadline passed after the request was sent.
    DeadlineAfterSend,
    /// The upstream's connection broke after the request may have been sent.
    UpstreamBroken,
    /// The upstream refused the request after it was sent; it may have run.
    UpstreamShed,
    /// The order was sent before, and its outcome isn't known here.
    OutcomeUnknown,
    /// The order ran before; its response is no longer stored.
    AlreadyRan,
    /// The order id is older than the retention period of order ids.
    OrderExpired,
    /// The object changed while its download was interrupted, so it can't be resumed.
    EntityChanged,
    /// A write was refused because a newer holder of the lease has written (fencing).
    Fenced,
    /// A defect of heatherbend itself, after the request may have been sent.
    Internal,
}

impl Kind {
    /// Every kind, in the order of the table in docs/ERRORS.md.
    pub const ALL: [Kind; 30] = [
        Kind::Malformed,
        Kind::TooLarge,
        Kind::UnknownBlock,
        Kind::UnknownService,
        Kind::UnknownRoute,
        Kind::HeadTooLarge,
        Kind::SlowCaller,
        Kind::ForgedToken,
        Kind::Unauthorized,
        Kind::BadSettings,
        Kind::Conflict,
        Kind::Overloaded,
        Kind::ShiftCapped,
        Kind::NoUpstream,
        Kind::Leaving,
        Kind::NotReady,
        Kind::CapExceeded,
        Kind::CapUnknown,
        Kind::StaleView,
        Kind::PlatformDown,
        Kind::DeadlineBeforeSend,
        Kind::DeadlineAfterSend,
        Kind::UpstreamBroken,
        Kind::UpstreamShed,
        Kind::OutcomeUnknown,
        Kind::AlreadyRan,
        Kind::OrderExpired,
        Kind::EntityChanged,
        Kind::Fenced,
        Kind::Internal,
    ];

    /// The name in responses, logs and metrics; the same as the serialised form.
    pub const fn as_str(self) -> &'static str {
        match self {
            Kind::Malformed => "malformed",
            Kind::TooLarge => "too_large",
            Kind::UnknownBlock => "unknown_block",
            Kind::UnknownService => "unknown_service",
            Kind::UnknownRoute => "unknown_route",
            Kind::HeadTooLarge => "head_too_large",
            Kind::SlowCaller => "slow_caller",
            Kind::ForgedToken => "forged_token",
            Kind::Unauthorized => "unauthorized",
            Kind::BadSettings => "bad_settings",
            Kind::Conflict => "conflict",
            Kind::Overloaded => "overloaded",
            Kind::ShiftCapped => "shift_capped",
            Kind::NoUpstream => "no_upstream",
            Kind::Leaving => "leaving",
            Kind::NotReady => "not_ready",
            Kind::CapExceeded => "cap_exceeded",
            Kind::CapUnknown => "cap_unknown",
            Kind::StaleView => "stale_view",
            Kind::PlatformDown => "platform_down",
            Kind::DeadlineBeforeSend => "deadline_before_send",
            Kind::DeadlineAfterSend => "deadline_after_send",
            Kind::UpstreamBroken => "upstream_broken",
            Kind::UpstreamShed => "upstream_shed",
            Kind::OutcomeUnknown => "outcome_unknown",
            Kind::AlreadyRan => "already_ran",
            Kind::OrderExpired => "order_expired",
            Kind::EntityChanged => "entity_changed",
            Kind::Fenced => "fenced",
            Kind::Internal => "internal",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
