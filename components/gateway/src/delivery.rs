//! Passes an upstream's response on to the caller.

use crate::attempt::{DEADLINE_MARGIN, Job};
use crate::connection::{Connection, idle_timeout, keep};
use crate::core::Core;
use crate::endpoint::{Endpoint, InFlight};
use crate::outcome::{Cause, Outcome};
use crate::reply::{Body, Piece, Reply};
use bytes::{Bytes, BytesMut};
use http1::{Framing, Headers, Response};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Bodies up to this size are buffered until complete, so that a truncated one can be retried.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// Pieces of a streamed body that are buffered for the caller.
const MAX_BUFFERED_PIECES: usize = 4;

/// Passes a response on to the caller.
pub struct Delivery<'a> {
    pub core: &'a Rc<Core>,
    pub job: &'a Job,
    pub endpoint: &'a Rc<Endpoint>,
    pub in_flight: InFlight,
}

impl Delivery<'_> {
    /// Buffers or streams the body; `connection` is `None` if the request was not sent whole.
    pub async fn deliver(self, response: Response, connection: Option<Connection>) -> Outcome {
        let names = self.core.protocol.names();
        let success = (200..300).contains(&response.status);
        if success && response.headers.get(names.signature).is_none() {
            return Outcome::Failed(Cause::Unsigned);
        }
        // To callers these statuses mean that the request was not executed. The upstream has not
        // stated that, so they aren't passed on.
        if matches!(response.status, 408 | 429 | 503) {
            return Outcome::Failed(Cause::Refused);
        }
        let Some(mut connection) = connection else {
            return Outcome::Failed(Cause::EarlyResponse);
        };
        let mut buffered = BytesMut::new();
        loop {
            match connection.reader.data().await {
                Ok(Some(piece)) => buffered.extend_from_slice(&piece),
                Ok(None) => break,
                Err(_) => return Outcome::Failed(Cause::BodyTruncated),
            }
            if buffered.len() > MAX_BUFFERED_BYTES {
                return Outcome::Response(self.stream(response, connection, buffered.freeze()));
            }
        }
        if response.keep_alive {
            keep(self.core, self.endpoint, connection, idle_timeout(&response.headers));
        }
        let body = match (self.job.head.method.as_ref(), buffered.is_empty()) {
            (b"HEAD", true) => Body::Empty { length: content_length(&response) },
            _ => Body::Full(buffered.freeze()),
        };
        let headers = end_to_end_headers(&response.headers);
        Outcome::Response(Reply { status: response.status, headers, body })
    }

    /// Streams a body that is too large to buffer; `first` is the part read so far.
    fn stream(self, response: Response, connection: Connection, first: Bytes) -> Reply {
        let (sender, pieces) = mpsc::channel(MAX_BUFFERED_PIECES);
        let length = match response.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let headers = end_to_end_headers(&response.headers);
        let status = response.status;
        let (core, endpoint) = (Rc::clone(self.core), Rc::clone(self.endpoint));
        let in_flight = self.in_flight;
        let remaining = self.job.deadline - core.clock.now() + DEADLINE_MARGIN;
        tokio::task::spawn_local(async move {
            let copying = copy_body(&core, &endpoint, &response, connection, first, sender);
            if tokio::time::timeout(remaining.duration(), copying).await.is_err() {
                log::warn!(
                    target: "attempt", upstream = endpoint.entry.id.as_ref();
                    "response body not complete at the deadline; closing both connections"
                );
            }
            drop(in_flight);
        });
        Reply { status, headers, body: Body::Stream { length, pieces } }
    }
}

/// Sends `first` and the rest of the body to `sender`, and then returns the connection to the pool.
async fn copy_body(
    core: &Core,
    endpoint: &Rc<Endpoint>,
    response: &Response,
    mut connection: Connection,
    first: Bytes,
    sender: mpsc::Sender<Piece>,
) {
    let mut piece = first;
    loop {
        if sender.send(Piece::Data(piece)).await.is_err() {
            return;
        }
        piece = match connection.reader.data().await {
            Ok(Some(next)) => next,
            Ok(None) => break,
            Err(error) => {
                let upstream = endpoint.entry.id.as_ref();
                log::info!(
                    target: "attempt", upstream = upstream, cause:% = error;
                    "response body truncated by the upstream; closing the caller's connection"
                );
                return;
            }
        };
    }
    // Fails if the caller has disconnected.
    let _ = sender.send(Piece::End).await;
    if response.keep_alive {
        keep(core, endpoint, connection, idle_timeout(&response.headers));
    }
}

/// The header fields to pass on; the length is set by whoever writes the response.
fn end_to_end_headers(headers: &Headers) -> Headers {
    let mut passed = Headers::default();
    for field in headers.end_to_end() {
        if !field.name.eq_ignore_ascii_case(b"content-length") {
            passed.push(field.name.clone(), field.value.clone());
        }
    }
    passed
}

/// The value of `Content-Length`, also for responses without a body.
fn content_length(response: &Response) -> Option<u64> {
    response.headers.text("content-length")?.parse().ok()
}
