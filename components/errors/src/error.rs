use crate::{Kind, Response, response};
use snafu::Snafu;

/// An error at the border of a component: a kind from the closed list and its context.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{kind:?}: {context}"))]
pub struct Error {
    /// The kind, which decides the answer.
    pub kind: Kind,
    /// What was being done and what went wrong, for the log and the user.
    pub context: String,
}

impl Error {
    /// An error of `kind`, with its context in words.
    pub fn new<C>(kind: Kind, context: C) -> Error
    where
        C: Into<String>,
    {
        Error { kind, context: context.into() }
    }

    /// The row of the table of answers for this error.
    pub fn response(&self) -> Response {
        response(self.kind)
    }
}
