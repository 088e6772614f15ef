use crate::{Refusal, Reply, Request, lookup};
use async_trait::async_trait;

/// Serves callers' requests. The router does the HTTP; the implementation takes the decisions.
#[async_trait]
pub trait Handler: Send + Sync {
    /// Answers a look-up.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if the block or the service is unknown, or the token is forged.
    fn look_up(&self, query: &lookup::Query) -> Result<lookup::Response, Refusal>;

    /// Forwards a request to an upstream. Dropping the future cancels it: the caller disconnected.
    ///
    /// # Errors
    ///
    /// [`Refusal`], which states whether the request was executed.
    async fn forward(&self, request: Request) -> Result<Reply, Refusal>;
}
