use errors::{Error, Kind, response};
use operator::Refusal;
use settings::Finding;
use std::sync::Arc;

/// Why a command failed.
#[derive(Debug)]
pub enum Failure {
    /// The command line is invalid.
    Usage(String),
    /// A declaration or a settings file is invalid.
    Findings(Vec<Finding>),
    /// A file can't be read or understood.
    Input(Error),
    /// A configuration is invalid; its report was printed.
    Reported,
    /// The control process refused the operation or couldn't be reached.
    Refused(Box<Refusal>),
    /// The operation whose outcome was requested was never committed.
    NotCommitted(Arc<str>),
}

impl Failure {
    /// The exit code for the kind of error.
    pub fn exit(&self) -> u8 {
        response(self.kind()).exit
    }

    /// The kind of error.
    pub fn kind(&self) -> Kind {
        match self {
            Failure::Usage(_) => Kind::Malformed,
            Failure::Findings(_) | Failure::Reported => Kind::BadSettings,
            Failure::Input(error) => error.kind,
            Failure::Refused(refusal) => refusal.kind,
            Failure::NotCommitted(_) => Kind::NotReady,
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Failure {
        Failure::Refused(Box::new(refusal))
    }
}

impl From<Vec<Finding>> for Failure {
    fn from(findings: Vec<Finding>) -> Failure {
        Failure::Findings(findings)
    }
}

impl From<Error> for Failure {
    fn from(error: Error) -> Failure {
        Refusal::from(error).into()
    }
}
