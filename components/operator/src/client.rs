use crate::path::{
    APPLY, APPLY_LIMIT_BYTES, CANCEL_DRAIN, CURRENT, EXPLAIN, OUTCOME, PLAN_DRAIN, STATUS,
    USE_PRESET,
};
use crate::wire::{
    Accepted, Apply, CancelDrain, Current, Explain, Explanation, Outcome, PlanDrain, Refusal,
    Status, UsePreset,
};
use crate::{Api, Key};
use async_trait::async_trait;
use clock::Millis;
use errors::Kind;
use reqwest::RequestBuilder;
use reqwest::header::AUTHORIZATION;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;

const CONNECT_TIMEOUT: Millis = Millis::from_secs(2);
const RESPONSE_TIMEOUT: Millis = Millis::from_secs(30);

/// A client of the operators' interface of a control process.
///
/// A connection that can't be made is [`Kind::NotReady`]: nothing was sent. If the response is lost
/// after a change was sent, the refusal is [`Kind::OutcomeUnknown`] and names the operation.
pub struct Client {
    http: reqwest::Client,
    address: SocketAddr,
    key: Key,
}

impl Client {
    /// A client of the control process at `address`.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] when the HTTP client can't be set up.
    pub fn new(address: SocketAddr, key: Key) -> Result<Client, Refusal> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT.duration())
            .timeout(RESPONSE_TIMEOUT.duration())
            .build()
            .map_err(|error| {
                Refusal::new(Kind::NotReady, format!("can't set up the HTTP client: {error}"))
            })?;
        Ok(Client { http, address, key })
    }

    async fn query<R>(&self, path: &str) -> Result<R, Refusal>
    where
        R: DeserializeOwned,
    {
        self.send(self.http.get(self.url(path)), None).await
    }

    async fn change<M, R>(&self, path: &str, operation: &Arc<str>, change: &M) -> Result<R, Refusal>
    where
        M: Serialize,
        R: DeserializeOwned,
    {
        let body = encode(change)?;
        if body.len() > APPLY_LIMIT_BYTES {
            let context = format!("the request exceeds {APPLY_LIMIT_BYTES} bytes");
            return Err(Refusal::new(Kind::TooLarge, context));
        }
        let request = self.http.post(self.url(path)).body(body);
        self.send(request, Some(operation)).await
    }

    async fn send<R>(
        &self,
        request: RequestBuilder,
        operation: Option<&Arc<str>>,
    ) -> Result<R, Refusal>
    where
        R: DeserializeOwned,
    {
        let request = request.header(AUTHORIZATION, self.key.authorization());
        let response = request.send().await.map_err(|error| self.failed(&error, operation))?;
        let is_success = response.status().is_success();
        let body = response.bytes().await.map_err(|error| self.failed(&error, operation))?;
        if is_success {
            return serde_json::from_slice(&body)
                .map_err(|error| self.lost(&format!("can't decode it: {error}"), operation));
        }
        Err(serde_json::from_slice(&body)
            .unwrap_or_else(|error| self.lost(&format!("can't decode it: {error}"), operation)))
    }

    fn failed(&self, error: &reqwest::Error, operation: Option<&Arc<str>>) -> Refusal {
        if error.is_connect() || error.is_builder() {
            let context = format!("can't reach the control process at {}", self.address);
            return Refusal::new(Kind::NotReady, context);
        }
        self.lost(&error.to_string(), operation)
    }

    fn lost(&self, cause: &str, operation: Option<&Arc<str>>) -> Refusal {
        let context = format!("the response of {} was lost: {cause}", self.address);
        match operation {
            Some(operation) => Refusal::unknown(Arc::clone(operation), context),
            None => Refusal::new(Kind::NotReady, context),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }
}

#[async_trait]
impl Api for Client {
    async fn status(&self) -> Result<Status, Refusal> {
        self.query(STATUS).await
    }

    async fn current(&self) -> Result<Current, Refusal> {
        self.query(CURRENT).await
    }

    async fn apply(&self, change: Apply) -> Result<Accepted, Refusal> {
        self.change(APPLY, &change.operation, &change).await
    }

    async fn use_preset(&self, change: UsePreset) -> Result<Accepted, Refusal> {
        self.change(USE_PRESET, &change.operation, &change).await
    }

    async fn plan_drain(&self, change: PlanDrain) -> Result<Accepted, Refusal> {
        self.change(PLAN_DRAIN, &change.operation, &change).await
    }

    async fn cancel_drain(&self, change: CancelDrain) -> Result<Accepted, Refusal> {
        self.change(CANCEL_DRAIN, &change.operation, &change).await
    }

    async fn explain(&self, query: Explain) -> Result<Explanation, Refusal> {
        let request = self.http.post(self.url(EXPLAIN)).body(encode(&query)?);
        self.send(request, None).await
    }

    async fn outcome(&self, operation: Arc<str>) -> Result<Outcome, Refusal> {
        self.query(&format!("{OUTCOME}/{operation}")).await
    }
}

fn encode<M>(message: &M) -> Result<Vec<u8>, Refusal>
where
    M: Serialize,
{
    serde_json::to_vec(message).map_err(|error| {
        Refusal::new(Kind::Malformed, format!("can't encode the request: {error}"))
    })
}
