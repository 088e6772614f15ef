use crate::load::{self, Load};
use crate::verify::{Expected, check};
use crate::{Attempt, Body, Failure, Reply, Transport, header};
use async_trait::async_trait;
use bytes::Bytes;
use clock::Millis;
use futures_util::{StreamExt, stream};
use reqwest::{redirect, retry};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

const LOAD_REPORT_BYTES_MAX: usize = 4096;

/// Settings of the connections to upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout for opening a connection and for a load report.
    pub connect_timeout: Millis,
    /// How long an idle connection is kept.
    pub idle_timeout: Millis,
    /// The most requests in flight, and so connections, per upstream.
    pub connections: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            connect_timeout: Millis(1_000),
            idle_timeout: Millis::from_secs(30),
            connections: 32,
        }
    }
}

/// The transport over HTTP/1.1.
///
/// It never follows redirects and never retries, since either could execute an order twice.
pub struct Client {
    http: reqwest::Client,
    settings: Settings,
    permits: Mutex<BTreeMap<SocketAddr, Arc<Semaphore>>>,
}

impl Client {
    /// A client without open connections.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] if the HTTP library can't be set up.
    pub fn new(settings: Settings) -> Result<Client, Failure> {
        let http = reqwest::Client::builder()
            .redirect(redirect::Policy::none())
            .retry(retry::never())
            .no_proxy()
            .tcp_nodelay(true)
            .connect_timeout(settings.connect_timeout.duration())
            .pool_idle_timeout(settings.idle_timeout.duration())
            .pool_max_idle_per_host(settings.connections)
            .build()
            .map_err(|error| Failure::NotSent { context: error.to_string() })?;
        Ok(Client { http, settings, permits: Mutex::default() })
    }

    fn permits(&self, address: SocketAddr) -> Arc<Semaphore> {
        let mut permits = self.permits.lock().expect("no panic while locked");
        let fresh = || Arc::new(Semaphore::new(self.settings.connections));
        Arc::clone(permits.entry(address).or_insert_with(fresh))
    }

    fn admit(&self, address: SocketAddr) -> Result<OwnedSemaphorePermit, Failure> {
        let context = || format!("{address} has all its connections in use");
        self.permits(address)
            .try_acquire_owned()
            .map_err(|_| Failure::NotSent { context: context() })
    }
}

#[async_trait]
impl Transport for Client {
    async fn send(&self, attempt: Attempt) -> Result<Reply, Failure> {
        let permit = self.admit(attempt.address)?;
        let id = attempt.headers.get(header::REQUEST_ID).cloned();
        let expected = Expected { method: attempt.method.clone(), id };
        let request = self
            .http
            .request(attempt.method, format!("http://{}{}", attempt.address, attempt.path))
            .headers(attempt.headers)
            .header(header::DEADLINE, attempt.budget.0)
            .timeout(attempt.budget.duration())
            .body(attempt.body)
            .build()
            .map_err(|error| Failure::NotSent { context: error.to_string() })?;
        let response = self.http.execute(request).await.map_err(classify)?;
        let status = response.status();
        let headers = response.headers().clone();
        check(&expected, Reply { status, headers, body: stream_body(response, permit) })
    }

    async fn load(&self, address: SocketAddr) -> Result<Load, Failure> {
        let url = format!("http://{address}{}", load::PATH);
        let timeout = self.settings.connect_timeout.duration();
        let response = self.http.get(url).timeout(timeout).send().await.map_err(classify)?;
        let bytes = read_bounded(response).await?;
        serde_json::from_slice(&bytes).map_err(|error| broken(&error.to_string()))
    }
}

// Keeps the permit until the body has ended or has been dropped.
fn stream_body(response: reqwest::Response, permit: OwnedSemaphorePermit) -> Body {
    let chunks = response.bytes_stream();
    Box::pin(stream::unfold((chunks, permit), |(mut chunks, permit)| async move {
        let item = chunks.next().await?;
        Some((item.map_err(|error| broken(&error.to_string())), (chunks, permit)))
    }))
}

async fn read_bounded(mut response: reqwest::Response) -> Result<Bytes, Failure> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(classify)? {
        bytes.extend_from_slice(&chunk);
        if bytes.len() > LOAD_REPORT_BYTES_MAX {
            return Err(broken("the load report is too large"));
        }
    }
    Ok(bytes.into())
}

fn classify(error: reqwest::Error) -> Failure {
    let context = error.to_string();
    if error.is_connect() || error.is_builder() {
        return Failure::NotSent { context };
    }
    Failure::Broken { context }
}

fn broken(context: &str) -> Failure {
    Failure::Broken { context: context.into() }
}
