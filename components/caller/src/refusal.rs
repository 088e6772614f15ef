use clock::Millis;
use errors::{Error, Execution, Kind};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Why a request got no response from an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The error; its kind determines the status and the stated execution.
    pub error: Error,
    /// When to retry; `None` for the default of the error's kind.
    pub retry_after: Option<Millis>,
    /// The request's id.
    pub request: Option<Arc<str>>,
    /// The order's id, to be sent with a retry.
    pub order: Option<Arc<str>>,
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The kind of error.
    pub kind: Kind,
    /// Whether the request was executed.
    pub ran: Execution,
    /// The error message.
    pub detail: String,
    /// The time to wait before a retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of `kind` with the error message `detail`.
    pub fn new<C>(kind: Kind, detail: C) -> Refusal
    where
        C: Into<String>,
    {
        Refusal::from(Error::new(kind, detail))
    }

    /// The time to wait before a retry.
    pub fn retry_after(&self) -> Option<Millis> {
        self.retry_after.or(self.error.response().retry_after)
    }

    /// The body of the response to the caller.
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
