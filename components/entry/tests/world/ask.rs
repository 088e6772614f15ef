use bytes::Bytes;
use caller::{Handler, Method, Refusal, Reply, Request};
use clock::Millis;
use entry::Entry;
use futures_util::StreamExt;
use std::sync::Arc;
use upstream::fake::entity;

const REVISIONS: u32 = 4;

/// A caller's request and what it expects.
#[derive(Clone, Debug)]
pub struct Ask {
    pub name: String,
    pub via: String,
    pub service: Arc<str>,
    pub path: Arc<str>,
    pub block: u32,
    pub order: Option<Arc<str>>,
    pub budget: Option<Millis>,
}

impl Ask {
    /// Sends the request and tells in one line what came back.
    pub async fn run(self, entry: &Entry) -> String {
        let request = self.request();
        match entry.forward(request).await {
            Ok(reply) => self.read(reply).await,
            Err(refusal) => self.refused(&refusal),
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

    fn refused(&self, refusal: &Refusal) -> String {
        let answer = refusal.error.answer();
        let detail = &refusal.error.context;
        let kind = refusal.error.kind;
        format!("{} {} {kind:?}: {detail}", self.name, answer.ran.as_str())
    }

    async fn read(&self, reply: Reply) -> String {
        let mut body = reply.body;
        let mut whole = Vec::new();
        while let Some(chunk) = body.next().await {
            match chunk {
                Ok(chunk) => whole.extend_from_slice(&chunk),
                Err(error) => return self.cut(&whole, &format!("{:?}", error.kind)),
            }
        }
        let expected = (0..REVISIONS).find(|revision| entity(&self.path, *revision) == whole);
        match expected {
            Some(revision) => {
                format!(
                    "{} {} whole: {} bytes, revision {revision}",
                    self.name,
                    reply.status.as_u16(),
                    whole.len()
                )
            }
            None => format!("{} WRONG: {} bytes of another answer", self.name, whole.len()),
        }
    }

    fn cut(&self, whole: &[u8], kind: &str) -> String {
        let starts = |revision: &u32| entity(&self.path, *revision).starts_with(whole);
        match (0..REVISIONS).find(starts) {
            Some(_) => format!("{} broken by {kind} after {} bytes", self.name, whole.len()),
            None => format!("{} WRONG: {} bytes before the break", self.name, whole.len()),
        }
    }
}
