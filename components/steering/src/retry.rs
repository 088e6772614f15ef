//! Decides whether a failed attempt is retried on another upstream.
//!
//! A non-idempotent request is retried only if it was provably not sent; see docs/GUARANTEES.md.

use crate::hedge::Budget;
use clock::Millis;

/// The most attempts for one request; hedges don't count.
const ATTEMPTS_MAX: u32 = 3;

/// How an attempt failed, which decides whether the request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request reached the upstream.
    NotSent,
    /// The upstream refused the request after it was sent.
    Shed,
    /// The connection broke after bytes may have been sent; the request may have run.
    Broken,
}

/// A failed attempt and what the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// How it failed.
    pub failure: Failure,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Attempts so far, including this one.
    pub attempts: u32,
    /// When the caller's deadline passes.
    pub deadline: Millis,
    /// The typical time from sending a request to its response.
    pub typical_latency: Millis,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request again, to another upstream.
    Retry,
    /// Give up: the request may have run and must not run twice.
    MayHaveRun,
    /// Give up: the deadline leaves no time for another attempt.
    NoTime,
    /// Give up: the limit of attempts is reached.
    TooManyAttempts,
    /// Give up: the budget of hedges and retries is used up.
    NoBudget,
}

/// Decides whether to retry after a failed attempt.
///
/// A retry costs `budget` only if the failed attempt was sent: an attempt that wasn't sent put no
/// load on an upstream.
pub fn decide(attempt: Attempt, budget: &mut Budget, now: Millis) -> Decision {
    if !attempt.idempotent && attempt.failure != Failure::NotSent {
        return Decision::MayHaveRun;
    }
    if attempt.attempts >= ATTEMPTS_MAX {
        return Decision::TooManyAttempts;
    }
    if now + attempt.typical_latency >= attempt.deadline {
        return Decision::NoTime;
    }
    if attempt.failure != Failure::NotSent && !budget.spend() {
        return Decision::NoBudget;
    }
    Decision::Retry
}
