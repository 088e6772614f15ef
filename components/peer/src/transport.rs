use crate::{Message, Reply};
use async_trait::async_trait;
use errors::{Error, Kind};
use snafu::Snafu;
use std::net::SocketAddr;

/// Why a message to a peer got no reply.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Failure {
    /// The message never left this VM, so the peer certainly didn't process it.
    #[snafu(display("the message wasn't sent: {context}"))]
    NotSent {
        /// The peer's address and the cause.
        context: String,
    },
    /// There was no valid reply; the peer may have processed the message.
    #[snafu(display("the reply was lost: {context}"))]
    Lost {
        /// The peer's address and the cause.
        context: String,
    },
    /// The peer received the message and refused to process it.
    #[snafu(display("the peer refused: {kind:?}: {context}"))]
    Refused {
        /// The peer's reason.
        kind: Kind,
        /// The peer's address and its error message.
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

/// Sends messages to other VMs' `controld`.
#[async_trait]
pub trait Transport: Send + Sync {
    /// Sends `message` to the peer at `to` and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`Failure`] when there is no valid reply within the transport's timeout.
    async fn call(&self, to: SocketAddr, message: Message) -> Result<Reply, Failure>;
}

/// Processes the messages of other VMs' `controld`.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Processes `message` and returns the reply.
    async fn handle(&self, message: Message) -> Reply;
}
