//! Passes an upstream's response on to the caller.

use crate::attempt::{DEADLINE_MARGIN, Job};
use crate::connection::{Connection, idle_timeout};
use crate::connector::keep;
use crate::core::Core;
use crate::endpoint::{Endpoint, InFlight};
use crate::memory::{Full, Hold, Purpose};
use crate::outcome::{Cause, Outcome};
use crate::pipe;
use crate::receiving::{self, Turn};
use crate::reply::{Body, Reply};
use bytes::{Bytes, BytesMut};
use clock::Millis;
use errors::Kind;
use http1::{Framing, Header, Headers, Response};
use std::cell::Cell;
use std::rc::Rc;

/// Bodies up to this size are buffered until complete, so that a truncated one can be retried.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// The same if other requests of the connection wait for their responses: they would be lost with a
/// truncated one.
const MAX_PIPELINED_BYTES: usize = 4 * 1024 * 1024;

/// Passes a response on to the caller.
pub struct Delivery<'a> {
    pub core: &'a Rc<Core>,
    pub job: &'a Job,
    pub endpoint: &'a Rc<Endpoint>,
    pub in_flight: InFlight,
}

impl Delivery<'_> {
    /// Buffers or streams the body; `connection` is `None` if the request was not sent whole.
    /// `reading` counts what the connection's reader may hold.
    pub async fn deliver(
        self,
        response: Response,
        connection: Option<Connection>,
        mut reading: Hold,
    ) -> Outcome {
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
        let mut turn = Turn::default();
        let mut hold = self.job.body.hold().sibling(Purpose::Response);
        loop {
            let piece = match connection.reader.data().await {
                Ok(Some(piece)) => piece,
                Ok(None) => break,
                Err(_) => return Outcome::Failed(Cause::BodyTruncated),
            };
            let length = buffered.len() + piece.len();
            let may_stream = length > MAX_BUFFERED_BYTES;
            let is_full = buffered.capacity() < length;
            let must_stream = match may_stream {
                true if length > MAX_PIPELINED_BYTES => true,
                // Others may be waiting behind it from now on.
                true if is_full && !hold.owner().is_shared() => true,
                _ if !is_full => false,
                _ => {
                    let wanted = content_length(&response).unwrap_or(u64::MAX);
                    let most = if may_stream { MAX_PIPELINED_BYTES } else { MAX_BUFFERED_BYTES };
                    let most = usize::try_from(wanted).unwrap_or(most).min(most);
                    let capacity = (buffered.capacity() * 2).min(most).max(length);
                    // Passing it on takes less, but loses what is behind it if it is broken off.
                    let may_stream = may_stream || !hold.owner().is_shared();
                    self.make_room(&mut buffered, &mut hold, capacity, may_stream).await.is_err()
                }
            };
            if must_stream {
                let (sender, pieces) = pipe::open(buffered.freeze(), hold);
                let body = Streamed { response, connection, reading, next: piece };
                return Outcome::Response(self.stream(body, sender, pieces));
            }
            buffered.extend_from_slice(&piece);
            turn.record_piece().await;
        }
        if response.keep_alive {
            keep(self.core, self.endpoint, connection, idle_timeout(&response.headers));
        }
        let headers = end_to_end_headers(&response.headers);
        receiving::keep_head(&mut reading, &headers);
        let body = match (self.job.head.method.as_ref(), buffered.is_empty()) {
            (b"HEAD", true) => Body::Empty { length: content_length(&response), head: reading },
            _ => {
                hold.absorb(reading);
                Body::Counted(buffered.freeze(), hold)
            }
        };
        Outcome::Response(Reply { status: response.status, headers, body })
    }

    /// Makes room for a body of `capacity` bytes. Fails if there is none and it may be streamed;
    /// waits for it otherwise.
    async fn make_room(
        &self,
        buffered: &mut BytesMut,
        hold: &mut Hold,
        capacity: usize,
        may_stream: bool,
    ) -> Result<(), Full> {
        let more = (capacity - buffered.capacity()) as u64;
        if may_stream {
            hold.try_grow(more)?;
        } else {
            receiving::grow(self.core, hold, more).await;
        }
        // Reserving might allocate more than is counted.
        let mut larger = BytesMut::with_capacity(capacity);
        larger.extend_from_slice(buffered);
        *buffered = larger;
        Ok(())
    }

    /// Streams a body that is too large to buffer.
    fn stream(self, body: Streamed, sender: pipe::Sender, pieces: pipe::Receiver) -> Reply {
        let Streamed { response, connection, mut reading, next } = body;
        let streaming = self.job.body.hold().owner().stream();
        let length = match response.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let headers = end_to_end_headers(&response.headers);
        let head = receiving::split_head(&mut reading, &headers);
        let status = response.status;
        let idle_timeout = idle_timeout(&response.headers);
        let rest = Rest { is_last: !response.keep_alive, idle_timeout, connection, reading, next };
        let (core, endpoint) = (Rc::clone(self.core), Rc::clone(self.endpoint));
        let in_flight = self.in_flight;
        let remaining = self.job.deadline - core.clock.now() + DEADLINE_MARGIN;
        let failure: Rc<Cell<Option<Kind>>> = Rc::default();
        let shared = Rc::clone(&failure);
        tokio::task::spawn_local(async move {
            let copying = copy_body(&core, &endpoint, rest, &sender);
            let kind = match tokio::time::timeout(remaining.duration(), copying).await {
                Ok(true) => None,
                Ok(false) => Some(Kind::UpstreamBroken),
                Err(_) => {
                    log::warn!(
                        target: "attempt", upstream = endpoint.entry.id.as_ref();
                        "response body not complete at the deadline; giving it up"
                    );
                    Some(Kind::DeadlineAfterSend)
                }
            };
            drop(in_flight);
            shared.set(kind);
            if kind.is_some() {
                sender.fail(streaming);
            }
        });
        Reply { status, headers, body: Body::Stream { length, pieces, failure, head } }
    }
}

/// A response that is passed on before its body is complete.
struct Streamed {
    response: Response,
    connection: Connection,
    /// What the connection's reader may hold, and the head.
    reading: Hold,
    /// The next piece of the body.
    next: Bytes,
}

/// The rest of a body.
struct Rest {
    connection: Connection,
    /// Whether the upstream closes the connection after it.
    is_last: bool,
    idle_timeout: Option<Millis>,
    /// What the connection's reader may hold.
    reading: Hold,
    /// The next piece.
    next: Bytes,
}

/// Sends the rest of the body to `sender`, and then returns the connection to the pool. Returns false
/// if the upstream broke it off.
async fn copy_body(
    core: &Core,
    endpoint: &Rc<Endpoint>,
    body: Rest,
    sender: &pipe::Sender,
) -> bool {
    let Rest { mut connection, is_last, idle_timeout, reading, next } = body;
    let mut piece = next;
    let mut turn = Turn::default();
    loop {
        if sender.send(piece).await.is_err() {
            return true;
        }
        turn.record_piece().await;
        piece = match connection.reader.data().await {
            Ok(Some(next)) => next,
            Ok(None) => break,
            Err(error) => {
                let upstream = endpoint.entry.id.as_ref();
                log::info!(
                    target: "attempt", upstream = upstream, cause:% = error;
                    "response body truncated by the upstream"
                );
                return false;
            }
        };
    }
    sender.end();
    drop(reading);
    if !is_last {
        keep(core, endpoint, connection, idle_timeout);
    }
    true
}

/// The header fields to pass on; the length is set by whoever writes the response.
fn end_to_end_headers(headers: &Headers) -> Headers {
    let is_length = |field: &Header| field.name.eq_ignore_ascii_case(b"content-length");
    Headers::copy(headers.end_to_end().filter(|field| !is_length(field)))
}

/// The value of `Content-Length`, also for responses without a body.
fn content_length(response: &Response) -> Option<u64> {
    response.headers.text("content-length")?.parse().ok()
}
