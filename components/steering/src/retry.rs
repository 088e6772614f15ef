//! Whether a failed attempt may be repeated on another upstream.
//!
//! See docs/GUARANTEES.md: a non-idempotent request is repeated only if it was provably not sent.

use crate::hedge::Budget;
use clock::Millis;

/// Attempts for one request at most, hedges not counted.
const ATTEMPTS_MAX: u32 = 3;

/// What is known of the execution of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request can have reached the upstream.
    NotSent,
    /// The upstream refused it after it was sent.
    Shed,
    /// The connection broke after bytes may have been sent.
    Broken,
}

/// A failed attempt and what surrounds it.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// How it failed.
    pub failure: Failure,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// When the caller's deadline passes.
    pub deadline: Millis,
    /// How long an answer usually takes.
    pub typical_latency: Millis,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it again, to another upstream.
    Retry,
    /// Give up, since the request may have run and must not run twice.
    MayHaveRun,
    /// Give up, since the deadline leaves no time for another answer.
    NoTime,
    /// Give up, since enough attempts were made.
    TooManyAttempts,
    /// Give up, since hedges and retries have used up their budget.
    NoBudget,
}

/// Decides whether to repeat a failed attempt.
///
/// A repetition is taken from `budget` if the failed attempt may have cost an upstream anything;
/// one that was never sent adds no load, and the request still deserves an upstream.
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
