use crate::{Message, Reply};
use async_trait::async_trait;
use errors::{Error, Kind};
use snafu::Snafu;
use std::net::SocketAddr;

/// Why a message to a peer got no reply.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The message never left this VM, so the peer certainly didn't act on it.
    #[snafu(display("the message wasn't sent: {context}"))]
    NotSent {
        /// The peer and the cause.
        context: String,
    },
    /// The message may have arrived and the peer may have acted on it.
    #[snafu(display("the reply was lost: {context}"))]
    Lost {
        /// The peer and the cause.
        context: String,
    },
    /// The peer received the message and refused to act on it.
    #[snafu(display("the peer refused: {kind:?}: {context}"))]
    Refused {
        /// The peer's reason.
        kind: Kind,
        /// The peer and its words.
        context: String,
    },
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Error {
        let context = failure.to_string();
        match failure {
            Failure::NotSent { .. } => Error::new(Kind::NotReady, context),
            Failure::Lost { .. } => Error::new(Kind::OutcomeUnknown, context),
            Failure::Refused { kind, .. } => Error::new(kind, context),
        }
    }
}

/// Carries messages to other VMs' `controld`.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends `message` to the peer at `to` and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`Failure`] when there is no reply within the transport's timeout.
    async fn call(&self, to: SocketAddr, message: Message) -> Result<Reply, Failure>;
}

/// Answers the messages that arrive from other VMs' `controld`.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Acts on `message` and returns the reply.
    async fn handle(&self, message: Message) -> Reply;
}
