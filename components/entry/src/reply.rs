use crate::job::Job;
use caller::header;
use upstream::{HeaderMap, HeaderValue};

const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    upstream::header::LEAVING,
];

/// The headers of an answer as the caller gets them: without those of the connection, with the ids.
pub(crate) fn headers(job: &Job, mut headers: HeaderMap) -> HeaderMap {
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    if let Ok(id) = HeaderValue::from_str(&job.id) {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Some(Ok(order)) = job.request.order.as_deref().map(HeaderValue::from_str) {
        headers.insert(header::ORDER_ID, order);
    }
    headers
}

/// Bytes of a request's line and headers, as far as links are concerned.
const HEAD_BYTES: u64 = 512;

/// The bytes that sending a request puts on a link.
pub(crate) fn request_size(job: &Job) -> u64 {
    job.request.body.len() as u64 + HEAD_BYTES
}
