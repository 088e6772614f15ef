use crate::Failure;
use crate::http::{HEADER, Key};
use crate::relay::Refusal;
use clock::Millis;
use errors::{Error, Kind};
use reqwest::StatusCode;
use salvo::http::ParseError;
use salvo::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;

/// Reads and decodes a request's body of at most `limit` bytes.
pub(crate) async fn receive<M>(req: &mut Request, limit: usize) -> Result<M, Error>
where
    M: DeserializeOwned,
{
    let body = match req.payload_with_max_size(limit).await {
        Ok(body) => body,
        Err(ParseError::PayloadTooLarge) => {
            return Err(Error::new(Kind::TooLarge, format!("the message exceeds {limit} bytes")));
        }
        Err(error) => {
            return Err(Error::new(Kind::Malformed, format!("can't read the message: {error}")));
        }
    };
    rmp_serde::from_slice(body)
        .map_err(|error| Error::new(Kind::Malformed, format!("can't decode the message: {error}")))
}

/// Encodes `reply` as the HTTP response.
pub(crate) fn reply<R>(res: &mut Response, reply: &R)
where
    R: Serialize,
{
    match rmp_serde::to_vec(reply) {
        Ok(body) => {
            res.body(body);
        }
        Err(error) => {
            refuse(res, &Error::new(Kind::Internal, format!("can't encode the reply: {error}")));
        }
    }
}

/// Encodes `error` as a [`Refusal`] in the HTTP response, with the status of its kind.
pub(crate) fn refuse(res: &mut Response, error: &Error) {
    let status = salvo::http::StatusCode::from_u16(error.response().status);
    res.status_code(status.unwrap_or(salvo::http::StatusCode::INTERNAL_SERVER_ERROR));
    let refusal = Refusal { kind: error.kind, detail: error.context.as_str().into() };
    res.body(rmp_serde::to_vec(&refusal).unwrap_or_default());
}

/// Where a message is sent, and the limits on its reply.
pub(crate) struct Target<'a> {
    pub(crate) to: SocketAddr,
    pub(crate) path: &'a str,
    pub(crate) key: &'a Key,
    pub(crate) timeout: Millis,
    /// The maximum size of the reply, in bytes.
    pub(crate) limit: usize,
}

/// Sends `message` and reads the reply; `None` when the peer replies with 204 (no content).
pub(crate) async fn post<M, R>(
    client: &reqwest::Client,
    target: Target<'_>,
    message: &M,
) -> Result<Option<R>, Failure>
where
    M: Serialize,
    R: DeserializeOwned,
{
    let to = target.to;
    let body = rmp_serde::to_vec(message).map_err(|error| Failure::NotSent {
        context: format!("{to}: can't encode the message: {error}"),
    })?;
    let response = client
        .post(format!("http://{to}/{}", target.path))
        .header(HEADER, target.key.secret())
        .timeout(target.timeout.duration())
        .body(body)
        .send()
        .await
        .map_err(|error| classify(to, &error))?;
    let status = response.status();
    if status == StatusCode::NO_CONTENT {
        return Ok(None);
    }
    let body = collect(to, response, target.limit).await?;
    if status != StatusCode::OK {
        return Err(refused(to, &body));
    }
    let reply = rmp_serde::from_slice(&body);
    reply.map(Some).map_err(|error| Failure::Lost {
        context: format!("{to}: can't decode the reply: {error}"),
    })
}

async fn collect(
    to: SocketAddr,
    mut response: reqwest::Response,
    limit: usize,
) -> Result<Vec<u8>, Failure> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| classify(to, &error))? {
        if body.len() + chunk.len() > limit {
            return Err(Failure::Lost {
                context: format!("{to}: the reply exceeds {limit} bytes"),
            });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

fn refused(to: SocketAddr, body: &[u8]) -> Failure {
    match rmp_serde::from_slice::<Refusal>(body) {
        Ok(refusal) => {
            Failure::Refused { kind: refusal.kind, context: format!("{to}: {}", refusal.detail) }
        }
        Err(error) => Failure::Lost { context: format!("{to}: can't decode the refusal: {error}") },
    }
}

/// Only a failure to connect proves that nothing was sent.
fn classify(to: SocketAddr, error: &reqwest::Error) -> Failure {
    let context = format!("{to}: {error}");
    if error.is_connect() { Failure::NotSent { context } } else { Failure::Lost { context } }
}
