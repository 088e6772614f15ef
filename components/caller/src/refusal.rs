use clock::Millis;
use errors::{Error, Execution, Kind};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Why a request got no upstream's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The error, whose kind decides the status and what is known about the execution.
    pub error: Error,
    /// When to come back, if that is known better than by the kind.
    pub retry_after: Option<Millis>,
    /// The request's id.
    pub request: Option<Arc<str>>,
    /// The order's id, under which the caller may repeat it.
    pub order: Option<Arc<str>>,
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The kind of error.
    pub kind: Kind,
    /// Whether the request ran.
    pub ran: Execution,
    /// What went wrong, in words.
    pub detail: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of `kind`, with its detail in words.
    pub fn new<C>(kind: Kind, detail: C) -> Refusal
    where
        C: Into<String>,
    {
        Refusal::from(Error::new(kind, detail))
    }

    /// When to come back.
    pub fn retry_after(&self) -> Option<Millis> {
        self.retry_after.or(self.error.response().retry_after)
    }

    /// The body that the caller gets.
    pub fn message(&self) -> Message {
        Message {
            kind: self.error.kind,
            ran: self.error.response().ran,
            detail: self.error.context.clone(),
            retry_after_ms: self.retry_after().map(|span| span.0),
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Refusal {
        Refusal { error, retry_after: None, request: None, order: None }
    }
}
