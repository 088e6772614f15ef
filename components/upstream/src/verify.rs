use crate::{Body, Failure, Reply, header};
use clock::Millis;
use futures_util::{StreamExt, stream};
use reqwest::header::{CONTENT_LENGTH, HeaderMap, HeaderValue, RETRY_AFTER};
use reqwest::{Method, StatusCode};

/// What an answer is checked against.
pub struct Expected {
    /// The request's method.
    pub method: Method,
    /// The request's id, as it was sent.
    pub id: Option<HeaderValue>,
}

/// Takes an answer as the connection gave it and lets through only what belongs to the request.
///
/// # Errors
///
/// [`Failure::Broken`] for an answer that names another request, [`Failure::Shed`] for 503.
pub fn check(expected: &Expected, reply: Reply) -> Result<Reply, Failure> {
    if mixed_up(&reply.headers, expected.id.as_ref()) {
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

fn mixed_up(headers: &HeaderMap, id: Option<&HeaderValue>) -> bool {
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
    left: u64,
    over: bool,
}

/// Wraps `body` so that it ends cleanly only after exactly `declared` bytes.
///
/// A connection that is cut, or that delivers bytes of another answer, thus always shows as an
/// error and never as a shorter or longer answer.
pub fn check_length(body: Body, declared: u64) -> Body {
    let checked = Checked { body, left: declared, over: false };
    Box::pin(stream::unfold(checked, |mut checked| async move {
        if checked.over {
            return None;
        }
        let item = checked.advance().await?;
        checked.over = item.is_err();
        Some((item, checked))
    }))
}

impl Checked {
    async fn advance(&mut self) -> Option<Result<bytes::Bytes, Failure>> {
        match self.body.next().await {
            Some(Ok(chunk)) => Some(self.count(chunk)),
            Some(Err(failure)) => Some(Err(failure)),
            None if self.left > 0 => Some(Err(broken(format!("{} bytes missing", self.left)))),
            None => None,
        }
    }

    fn count(&mut self, chunk: bytes::Bytes) -> Result<bytes::Bytes, Failure> {
        let size = chunk.len() as u64;
        if size > self.left {
            return Err(broken(format!("{} bytes more than declared", size - self.left)));
        }
        self.left -= size;
        Ok(chunk)
    }
}

fn broken(context: String) -> Failure {
    Failure::Broken { context }
}
