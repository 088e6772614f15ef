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

/// The headers of a response to the caller: those of the upstream, without those of its connection,
/// and the ids of the request and the order.
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

/// Estimated bytes of a request line and headers, for the limits of links.
const HEAD_BYTES_ESTIMATE: u64 = 512;

/// The bytes that a request counts for on a link.
pub(crate) fn request_bytes(job: &Job) -> u64 {
    job.request.body.len() as u64 + HEAD_BYTES_ESTIMATE
}
