//! A caller's side of the protocol, as the trial, the tests and the measurements use it.

use crate::{format_block, header, lookup};
use bytes::Bytes;
use clock::{Clock, Millis};
use errors::{Error, Execution, Kind};
use reqwest::{Method, RequestBuilder, Response};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// A caller that keeps its look-up answers for their leases.
pub struct Client {
    http: reqwest::Client,
    clock: Clock,
    block: u32,
    seeds: Vec<SocketAddr>,
    held: BTreeMap<Arc<str>, Held>,
}

/// A look-up answer and when its lease ends.
struct Held {
    answer: lookup::Response,
    until: Millis,
}

/// A request of a caller.
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
    /// The order's id, for a non-idempotent request.
    pub order: Option<Arc<str>>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream's whole answer.
    Answered {
        /// The status.
        status: u16,
        /// The body.
        body: Bytes,
    },
    /// No answer; what is known about the execution is given.
    Refused {
        /// Whether the request ran.
        ran: Execution,
        /// What went wrong, in words.
        detail: String,
    },
}

impl Client {
    /// A caller from `block` that knows the entry VMs at `seeds` to begin with.
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the HTTP library can't be set up.
    pub fn new(clock: Clock, block: u32, seeds: Vec<SocketAddr>) -> Result<Client, Error> {
        let builder = reqwest::Client::builder().no_proxy().tcp_nodelay(true);
        let http =
            builder.build().map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
        Ok(Client { http, clock, block, seeds, held: BTreeMap::new() })
    }

    /// The answer in force for `service`, looked up or renewed when its lease has ended.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] when no entry VM answers.
    pub async fn look_up(&mut self, service: &Arc<str>) -> Result<lookup::Response, Error> {
        let now = self.clock.now();
        if let Some(held) = self.held.get(service).filter(|held| now < held.until) {
            return Ok(held.answer.clone());
        }
        let answer = self.ask(service).await?;
        let until = now + Millis(answer.lease_ms);
        self.held.insert(Arc::clone(service), Held { answer: answer.clone(), until });
        Ok(answer)
    }

    /// Sends `call` to the entry VMs of its look-up answer, in order, until one doesn't refuse it
    /// as not run.
    pub async fn send(&mut self, call: &Call) -> Outcome {
        let answer = match self.look_up(&call.service).await {
            Ok(answer) => answer,
            Err(error) => return refused(Execution::NotRun, error.context),
        };
        let mut outcome = refused(Execution::NotRun, "no entry VM was named".into());
        for entry in &answer.entries {
            outcome = self.attempt(call, entry.address).await;
            if !may_repeat(call, &outcome) {
                return outcome;
            }
        }
        self.held.remove(&call.service);
        outcome
    }

    /// Sends `call` to the entry VM at `address`.
    pub async fn attempt(&self, call: &Call, address: SocketAddr) -> Outcome {
        let url = format!("http://{address}/v1/services/{}{}", call.service, call.path);
        let request = self.http.request(call.method.clone(), url).body(call.body.clone());
        match self.mark(request, call).send().await {
            Ok(response) => read(response).await,
            Err(error) if error.is_connect() => refused(Execution::NotRun, error.to_string()),
            Err(error) => refused(Execution::Unknown, error.to_string()),
        }
    }

    fn mark(&self, request: RequestBuilder, call: &Call) -> RequestBuilder {
        let request = request.header(header::BLOCK, format_block(self.block));
        match &call.order {
            Some(order) => request.header(header::ORDER_ID, &**order),
            None => request,
        }
    }

    async fn ask(&self, service: &Arc<str>) -> Result<lookup::Response, Error> {
        let held = self.held.get(service);
        let token = held.map(|held| Arc::clone(&held.answer.token)).unwrap_or_default();
        let known = held.into_iter().flat_map(|held| &held.answer.entries);
        let addresses = known.map(|entry| entry.address).chain(self.seeds.iter().copied());
        let mut last = Error::new(Kind::NotReady, "no entry VM is known");
        for address in addresses {
            match self.look_up_at(address, service, &token).await {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Asks the entry VM at `address`, whatever answer is held.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] with what the entry VM said.
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

/// Whether another entry VM may be asked: a non-idempotent request only if it didn't run.
fn may_repeat(call: &Call, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered { .. } => false,
        Outcome::Refused { ran, .. } => *ran == Execution::NotRun || call.method == Method::GET,
    }
}

async fn read(response: Response) -> Outcome {
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
