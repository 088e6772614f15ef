use crate::{Body, Failure, Reply, header};
use clock::Millis;
use futures_util::{StreamExt, stream};
use reqwest::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, RETRY_AFTER};
use reqwest::{Method, StatusCode};

/// The request that a response must belong to.
pub struct Expected {
    /// The request's method.
    pub method: Method,
    /// The request's id, as it was sent.
    pub id: Option<HeaderValue>,
}

/// Checks that a response belongs to the request and, while it streams, that its body is complete.
///
/// # Errors
///
/// [`Failure::Broken`] for a response with another request's id, [`Failure::Shed`] for 503.
pub fn check(expected: &Expected, reply: Reply) -> Result<Reply, Failure> {
    if has_other_id(&reply.headers, expected.id.as_ref()) {
        return Err(broken("the answer belongs to another request".into()));
    }
    if reply.status == StatusCode::SERVICE_UNAVAILABLE {
        return Err(Failure::Shed { retry_after: retry_after(&reply.headers) });
    }
    let body = match declared(&reply.headers) {
        Some(length) if !is_empty(&expected.method, reply.status) => {
            check_length(reply.body, length)
        }
        _ => reply.body,
    };
    Ok(Reply { body, ..reply })
}

fn has_other_id(headers: &HeaderMap, id: Option<&HeaderValue>) -> bool {
    match (headers.get(header::REQUEST_ID), id) {
        (Some(echoed), Some(sent)) => echoed != sent,
        _ => false,
    }
}

fn is_empty(method: &Method, status: StatusCode) -> bool {
    *method == Method::HEAD || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn declared(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn retry_after(headers: &HeaderMap) -> Option<Millis> {
    let secs = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some(Millis::from_secs(secs))
}

struct Checked {
    body: Body,
    remaining: u64,
    failed: bool,
}

/// Wraps `body` so that it ends cleanly only after exactly `declared` bytes.
///
/// A connection that closes early, or delivers bytes of another response, thus always gives an
/// error and never a shorter or longer body.
pub fn check_length(body: Body, declared: u64) -> Body {
    let checked = Checked { body, remaining: declared, failed: false };
    Box::pin(stream::unfold(checked, |mut checked| async move {
        if checked.failed {
            return None;
        }
        let item = checked.advance().await?;
        checked.failed = item.is_err();
        Some((item, checked))
    }))
}

impl Checked {
    async fn advance(&mut self) -> Option<Result<bytes::Bytes, Failure>> {
        match self.body.next().await {
            Some(Ok(chunk)) => Some(self.count(chunk)),
            Some(Err(failure)) => Some(Err(failure)),
            None if self.remaining > 0 => {
                Some(Err(broken(format!("{} bytes missing", self.remaining))))
            }
            None => None,
        }
    }

    fn count(&mut self, chunk: bytes::Bytes) -> Result<bytes::Bytes, Failure> {
        let size = chunk.len() as u64;
        if size > self.remaining {
            return Err(broken(format!("{} bytes more than declared", size - self.remaining)));
        }
        self.remaining -= size;
        Ok(chunk)
    }
}

fn broken(context: String) -> Failure {
    Failure::Broken { context }
}
