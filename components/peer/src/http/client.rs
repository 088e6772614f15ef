use crate::http::wire::Target;
use crate::http::{Key, PATH, post};
use crate::message::MAX_MESSAGE;
use crate::{Failure, Message, Reply, Transport};
use async_trait::async_trait;
use clock::Millis;
use std::net::SocketAddr;

const REPLY_TIMEOUT: Millis = Millis(1000);

/// Sends messages to other VMs' `controld`.
pub struct Client {
    http: reqwest::Client,
    key: Key,
}

impl Client {
    /// A client that sends `key` with each message.
    pub fn new(key: Key) -> Client {
        Client { http: reqwest::Client::new(), key }
    }
}

#[async_trait]
impl Transport for Client {
    async fn call(&self, to: SocketAddr, message: Message) -> Result<Reply, Failure> {
        let target =
            Target { to, path: PATH, key: &self.key, timeout: REPLY_TIMEOUT, limit: MAX_MESSAGE };
        let reply = post(&self.http, target, &message).await?;
        reply.ok_or_else(|| Failure::Lost { context: format!("{to}: the reply is empty") })
    }
}
