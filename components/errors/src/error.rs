use crate::{Kind, Response, response};
use snafu::Snafu;

/// An error that a component returns to its users: a kind from the closed list with a context.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{kind:?}: {context}"))]
pub struct Error {
    /// The kind, which determines the response.
    pub kind: Kind,
    /// What was being done and what went wrong, for the log and the user.
    pub context: String,
}

impl Error {
    /// An error of `kind`; `context` is text for the log and the user.
    pub fn new<C>(kind: Kind, context: C) -> Error
    where
        C: Into<String>,
    {
        Error { kind, context: context.into() }
    }

    /// How this error is presented, by its kind.
    pub fn response(&self) -> Response {
        response(self.kind)
    }
}
