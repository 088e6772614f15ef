use bytes::Bytes;
use caller::{Handler, Method, Refusal, Reply, Request};
use clock::Millis;
use entry::Entry;
use futures_util::StreamExt;
use std::sync::Arc;
use upstream::fake::entity;

/// The number of revisions of an entity that a fake upstream may serve.
const REVISIONS: u32 = 4;

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub name: String,
    /// The entry VM that receives the request.
    pub via: String,
    pub service: Arc<str>,
    pub path: Arc<str>,
    pub block: u32,
    pub order: Option<Arc<str>>,
    pub budget: Option<Millis>,
}

impl Call {
    /// Sends the request and returns a transcript line about the response.
    pub async fn run(self, entry: &Entry) -> String {
        let request = self.request();
        match entry.forward(request).await {
            Ok(reply) => self.describe_reply(reply).await,
            Err(refusal) => self.describe_refusal(&refusal),
        }
    }

    fn request(&self) -> Request {
        let order = self.order.is_some();
        Request {
            id: Some(self.name.as_str().into()),
            block: self.block,
            service: Arc::clone(&self.service),
            method: if order { Method::POST } else { Method::GET },
            path: Arc::clone(&self.path),
            headers: Default::default(),
            body: Bytes::new(),
            budget: self.budget,
            idempotent: !order,
            order: self.order.clone(),
        }
    }

    fn describe_refusal(&self, refusal: &Refusal) -> String {
        let answer = refusal.error.response();
        let detail = &refusal.error.context;
        let kind = refusal.error.kind;
        format!("{} {} {kind:?}: {detail}", self.name, answer.ran.as_str())
    }

    async fn describe_reply(&self, reply: Reply) -> String {
        let mut body = reply.body;
        let mut received = Vec::new();
        while let Some(chunk) = body.next().await {
            match chunk {
                Ok(chunk) => received.extend_from_slice(&chunk),
                Err(error) => return self.describe_break(&received, &format!("{:?}", error.kind)),
            }
        }
        let expected = (0..REVISIONS).find(|revision| entity(&self.path, *revision) == received);
        match expected {
            Some(revision) => {
                format!(
                    "{} {} whole: {} bytes, revision {revision}",
                    self.name,
                    reply.status.as_u16(),
                    received.len()
                )
            }
            None => format!("{} WRONG: {} bytes of another response", self.name, received.len()),
        }
    }

    fn describe_break(&self, received: &[u8], kind: &str) -> String {
        let starts = |revision: &u32| entity(&self.path, *revision).starts_with(received);
        match (0..REVISIONS).find(starts) {
            Some(_) => format!("{} broken by {kind} after {} bytes", self.name, received.len()),
            None => format!("{} WRONG: {} bytes before the break", self.name, received.len()),
        }
    }
}
