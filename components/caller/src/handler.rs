use crate::{Refusal, Reply, Request, lookup};
use async_trait::async_trait;

/// What answers callers; sockets stay on this side of it and decisions on the other.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers a look-up.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the block or the service is unknown, or the token is forged.
    fn look_up(&self, query: &lookup::Query) -> Result<lookup::Response, Refusal>;

    /// Has an upstream serve a request. Dropping the call means that the caller has gone.
    ///
    /// # Errors
    ///
    /// [`Refusal`] says whether the request ran.
    async fn forward(&self, request: Request) -> Result<Reply, Refusal>;
}
