//! The HTTP client of the platform; the protocol is in docs/PLATFORM.md.

use crate::{Commit, Directory, Failure, Listing, Row, Store, Table, Transaction, digest};
use async_trait::async_trait;
use clock::Millis;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;

const CONNECT_TIMEOUT: Millis = Millis(500);
const REQUEST_TIMEOUT: Millis = Millis(2_000);
const BODY_LIMIT_BYTES: usize = 16 << 20;

/// A client of the platform, which uses the first address that accepts a connection.
pub struct Client {
    http: reqwest::Client,
    addresses: Vec<SocketAddr>,
}

impl Client {
    /// A client of the platform at `addresses`, tried in order.
    ///
    /// # Errors
    ///
    /// [`Failure::Refused`] when the HTTP client can't be set up.
    pub fn new(addresses: Vec<SocketAddr>) -> Result<Client, Failure> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT.duration())
            .timeout(REQUEST_TIMEOUT.duration())
            .build()
            .map_err(|error| Failure::Refused { context: error.to_string() })?;
        Ok(Client { http, addresses })
    }

    async fn send<Build>(&self, build: Build) -> Result<Response, Failure>
    where
        Build: Fn(&reqwest::Client, String) -> RequestBuilder,
    {
        let mut last = Failure::Unavailable { context: "no address of the platform is set".into() };
        for address in &self.addresses {
            match build(&self.http, format!("http://{address}")).send().await {
                Ok(response) => return accept(response),
                Err(error) if error.is_connect() => {
                    last = Failure::Unavailable { context: error.to_string() };
                }
                Err(error) => return Err(Failure::Lost { context: error.to_string() }),
            }
        }
        Err(last)
    }
}

/// Turns error statuses into failures; 503 means that the operation didn't take effect.
fn accept(response: Response) -> Result<Response, Failure> {
    let status = response.status();
    match status {
        StatusCode::SERVICE_UNAVAILABLE => {
            Err(Failure::Unavailable { context: status.to_string() })
        }
        _ if status.is_success() || status == StatusCode::NOT_FOUND => Ok(response),
        _ if status.is_client_error() => Err(Failure::Refused { context: status.to_string() }),
        _ => Err(Failure::Lost { context: status.to_string() }),
    }
}

async fn read_body(response: Response) -> Result<Vec<u8>, Failure> {
    let lost = |error: reqwest::Error| Failure::Lost { context: error.to_string() };
    if response.content_length().unwrap_or(0) > BODY_LIMIT_BYTES as u64 {
        return Err(Failure::Refused {
            context: format!("the response exceeds {BODY_LIMIT_BYTES} bytes"),
        });
    }
    Ok(response.bytes().await.map_err(lost)?.to_vec())
}

async fn read_json<T>(response: Response) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    let body = read_body(response).await?;
    serde_json::from_slice(&body).map_err(|error| Failure::Lost { context: error.to_string() })
}

fn encode(transaction: &Transaction) -> Result<Vec<u8>, Failure> {
    serde_json::to_vec(transaction).map_err(|error| Failure::Refused { context: error.to_string() })
}

#[async_trait]
impl Table for Client {
    async fn read(&self, key: &str) -> Result<Option<Row>, Failure> {
        let response = self
            .send(|http, base| http.post(format!("{base}/v1/table/read")).body(key.to_owned()))
            .await?;
        read_json(response).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<Commit, Failure> {
        let body = encode(&transaction)?;
        let response = self
            .send(|http, base| http.post(format!("{base}/v1/table/commit")).body(body.clone()))
            .await?;
        read_json(response).await
    }
}

#[async_trait]
impl Store for Client {
    async fn put(&self, body: Vec<u8>) -> Result<Arc<str>, Failure> {
        let name = digest(&body);
        self.send(|http, base| http.put(format!("{base}/v1/objects/{name}")).body(body.clone()))
            .await?;
        Ok(name)
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, Failure> {
        let response =
            self.send(|http, base| http.get(format!("{base}/v1/objects/{name}"))).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        let body = read_body(response).await?;
        if *digest(&body) != *name {
            return Err(Failure::Lost { context: "the object doesn't match its digest".into() });
        }
        Ok(Some(body))
    }
}

#[async_trait]
impl Directory for Client {
    async fn list(&self) -> Result<Listing, Failure> {
        let response = self.send(|http, base| http.get(format!("{base}/v1/machines"))).await?;
        read_json(response).await
    }
}
