//! A client for the callers' protocol, for `heatherbend try`, tests and benchmarks.

use crate::{format_block, header, lookup};
use bytes::Bytes;
use clock::{Clock, Millis};
use errors::{Error, Execution, Kind};
use reqwest::{Method, RequestBuilder, Response};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A client that caches look-up responses until their leases end.
pub struct Client {
    http: reqwest::Client,
    clock: Clock,
    block: u32,
    seeds: Vec<SocketAddr>,
    leases: BTreeMap<Arc<str>, Leased>,
}

/// A look-up response and the end of its lease.
struct Leased {
    response: lookup::Response,
    until: Millis,
}

/// A caller's request to a service.
#[derive(Clone, Debug)]
pub struct Call {
    /// The service.
    pub service: Arc<str>,
    /// The method.
    pub method: Method,
    /// The path at the service, beginning with `/`.
    pub path: Arc<str>,
    /// The body.
    pub body: Bytes,
    /// The order's id; `None` for an idempotent request.
    pub order: Option<Arc<str>>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream's complete response.
    Answered {
        /// The status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// No response from an upstream.
    Refused {
        /// Whether the request was executed.
        ran: Execution,
        /// The error message.
        detail: String,
    },
}

impl Client {
    /// A client in `block` that sends its first look-ups to the entry VMs at `seeds`.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the HTTP library can't be set up.
    pub fn new(clock: Clock, block: u32, seeds: Vec<SocketAddr>) -> Result<Client, Error> {
        let builder = reqwest::Client::builder().no_proxy().tcp_nodelay(true);
        let http =
            builder.build().map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
        Ok(Client { http, clock, block, seeds, leases: BTreeMap::new() })
    }

    /// Returns the cached response for `service`, or looks it up again after its lease has ended.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] when no entry VM returns a valid response.
    pub async fn look_up(&mut self, service: &Arc<str>) -> Result<lookup::Response, Error> {
        let now = self.clock.now();
        if let Some(leased) = self.leases.get(service).filter(|leased| now < leased.until) {
            return Ok(leased.response.clone());
        }
        let response = self.renew(service).await?;
        let until = now + Millis(response.lease_ms);
        self.leases.insert(Arc::clone(service), Leased { response: response.clone(), until });
        Ok(response)
    }

    /// Sends `call` to the entry VMs of its look-up response in order, until a retry is
    /// unnecessary or unsafe.
    pub async fn send(&mut self, call: &Call) -> Outcome {
        let response = match self.look_up(&call.service).await {
            Ok(response) => response,
            Err(error) => return refused(Execution::NotRun, error.context),
        };
        let mut outcome =
            refused(Execution::NotRun, "the look-up response lists no entry VM".into());
        for entry in &response.entries {
            outcome = self.attempt(call, entry.address).await;
            if !may_retry(call, &outcome) {
                return outcome;
            }
        }
        self.leases.remove(&call.service);
        outcome
    }

    /// Sends `call` to the entry VM at `address`.
    pub async fn attempt(&self, call: &Call, address: SocketAddr) -> Outcome {
        let url = format!("http://{address}/v1/services/{}{}", call.service, call.path);
        let request = self.http.request(call.method.clone(), url).body(call.body.clone());
        match self.add_headers(request, call).send().await {
            Ok(response) => read_outcome(response).await,
            Err(error) if error.is_connect() => refused(Execution::NotRun, error.to_string()),
            Err(error) => refused(Execution::Unknown, error.to_string()),
        }
    }

    fn add_headers(&self, request: RequestBuilder, call: &Call) -> RequestBuilder {
        let request = request.header(header::BLOCK, format_block(self.block));
        match &call.order {
            Some(order) => request.header(header::ORDER_ID, &**order),
            None => request,
        }
    }

    async fn renew(&self, service: &Arc<str>) -> Result<lookup::Response, Error> {
        let leased = self.leases.get(service);
        let token = leased.map(|leased| Arc::clone(&leased.response.token)).unwrap_or_default();
        let known = leased.into_iter().flat_map(|leased| &leased.response.entries);
        let addresses = known.map(|entry| entry.address).chain(self.seeds.iter().copied());
        let mut last =
            Error::new(Kind::NotReady, "no seeds are given, and no look-up response is cached");
        for address in addresses {
            match self.look_up_at(address, service, &token).await {
                Ok(response) => return Ok(response),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Sends a look-up to the entry VM at `address`, even if a response is cached.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] with the entry VM's error message or the cause of the failure.
    pub async fn look_up_at(
        &self,
        address: SocketAddr,
        service: &str,
        token: &str,
    ) -> Result<lookup::Response, Error> {
        let block = format_block(self.block);
        let mut url = format!("http://{address}/v1/lookup?block={block}&service={service}");
        if !token.is_empty() {
            url.push_str("&token=");
            url.push_str(token);
        }
        let failed = |cause: String| Error::new(Kind::NotReady, cause);
        let response =
            self.http.get(url).send().await.map_err(|cause| failed(cause.to_string()))?;
        let status = response.status();
        let body = response.bytes().await.map_err(|cause| failed(cause.to_string()))?;
        if !status.is_success() {
            return Err(failed(String::from_utf8_lossy(&body).into_owned()));
        }
        serde_json::from_slice(&body).map_err(|cause| failed(cause.to_string()))
    }
}

/// Whether `call` may be sent to another entry VM: if it wasn't executed, or is a GET.
fn may_retry(call: &Call, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered { .. } => false,
        Outcome::Refused { ran, .. } => *ran == Execution::NotRun || call.method == Method::GET,
    }
}

async fn read_outcome(response: Response) -> Outcome {
    let status = response.status().as_u16();
    let ran = response.headers().get(header::RAN).map(|value| parse_ran(value.as_bytes()));
    match (response.bytes().await, ran) {
        (Ok(body), Some(ran)) => refused(ran, String::from_utf8_lossy(&body).into_owned()),
        (Ok(body), None) => Outcome::Answered { status, body },
        (Err(error), _) => refused(Execution::Unknown, error.to_string()),
    }
}

fn parse_ran(value: &[u8]) -> Execution {
    match value {
        b"not_run" => Execution::NotRun,
        b"ran" => Execution::Ran,
        _ => Execution::Unknown,
    }
}

fn refused(ran: Execution, detail: String) -> Outcome {
    Outcome::Refused { ran, detail }
}
