use crate::net::{self, Timeouts};
use crate::{Error, Framing, Reader, Response, encode};
use bytes::{Bytes, BytesMut};
use clock::Millis;
use snafu::Snafu;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// The most bytes of a response's head.
const HEAD_BYTES: usize = 16 * 1024;

/// Makes calls to one address, one at a time, on a keep-alive connection.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    timeouts: Timeouts,
    body_limit: u64,
    connection: Option<Reader<TcpStream>>,
}

/// A request to the client's address.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The body; empty for none.
    pub body: &'a [u8],
    /// The media type of the body.
    pub media_type: &'a str,
    /// The time that the call may take.
    pub limits: Limits,
}

/// The time that a call may take. A transfer that makes progress is given longer than a server that
/// doesn't respond, as the same transfer on another connection would begin anew. One that is too
/// slow to end in time is given up early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Until the head of the response is received.
    pub response: Millis,
    /// Without a byte of the response's body.
    pub silence: Millis,
    /// For the whole call.
    pub total: Millis,
}

/// Why a call has no response.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The connection could not be opened, so the call was not executed.
    #[snafu(display("can't connect: {source}"))]
    Unreachable {
        /// The system's error.
        source: io::Error,
    },
    /// The response is missing or invalid; the call may have been executed.
    #[snafu(display("no valid response: {source}"))]
    NoResponse {
        /// The error while writing the request or reading the response.
        source: Error,
    },
    /// The call timed out before a response began; it may have been executed.
    #[snafu(display("no response within {took}"))]
    Unanswered {
        /// Time since the call was made.
        took: Millis,
    },
    /// Within the body of the response, the call timed out, the server fell silent, or the transfer
    /// was too slow to end in time.
    #[snafu(display("response incomplete after {took}: {received} bytes of its body received"))]
    Incomplete {
        /// Time since the call was made.
        took: Millis,
        /// Bytes of the body.
        received: usize,
    },
}

impl Client {
    /// A client of `address` that accepts response bodies of at most `body_limit` bytes.
    pub fn new(address: SocketAddr, timeouts: Timeouts, body_limit: u64) -> Client {
        Client { address, timeouts, body_limit, connection: None }
    }

    /// Makes a call. A connection that fails or times out is closed.
    ///
    /// # Errors
    ///
    /// Every [`Failure`].
    pub async fn call(&mut self, call: &Call<'_>) -> Result<(Response, Bytes), Failure> {
        let started = Instant::now();
        let deadline = started + call.limits.total.duration();
        let response_deadline = deadline.min(started + call.limits.response.duration());
        let idle = self.connection.take();
        let (response, mut connection) = timeout_at(response_deadline, self.begin(idle, call))
            .await
            .map_err(|_| Failure::Unanswered { took: since(started) })??;
        let mut body = BytesMut::new();
        let incomplete = |received| Failure::Incomplete { took: since(started), received };
        let transfer = Transfer::new(&response, deadline, call.limits.silence);
        loop {
            let silent_at = deadline.min(Instant::now() + call.limits.silence.duration());
            let piece = timeout_at(silent_at, connection.data()).await;
            let piece = piece.map_err(|_| incomplete(body.len()))?.map_err(no_response)?;
            let Some(piece) = piece else {
                break;
            };
            body.extend_from_slice(&piece);
            if body.len() as u64 > self.body_limit {
                return Err(no_response(Error::BodyTooLarge { limit: self.body_limit }));
            }
            if transfer.is_too_slow(body.len()) {
                return Err(incomplete(body.len()));
            }
        }
        self.connection = response.keep_alive.then_some(connection);
        Ok((response, body.freeze()))
    }

    /// Sends the call and reads the head of the response.
    async fn begin(
        &self,
        idle: Option<Reader<TcpStream>>,
        call: &Call<'_>,
    ) -> Result<(Response, Reader<TcpStream>), Failure> {
        let mut connection = match reusable(idle).await {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let bytes = self.encode(call);
        let written = connection.stream_mut().write_all(&bytes).await;
        written.map_err(|source| no_response(Error::Broken { source }))?;
        let response = connection.response(call.method.as_bytes(), HEAD_BYTES).await;
        Ok((response.map_err(no_response)?, connection))
    }

    async fn connect(&self) -> Result<Reader<TcpStream>, Failure> {
        let opened = net::connect(self.address, self.timeouts).await;
        let opened = opened
            .and_then(|stream| net::configure(&stream, self.timeouts.silence).map(|()| stream));
        opened.map(Reader::new).map_err(|source| Failure::Unreachable { source })
    }

    fn encode(&self, call: &Call<'_>) -> BytesMut {
        let host = self.address.to_string();
        let length = call.body.len().to_string();
        let mut fields = vec![("Host", host.as_str())];
        if !call.body.is_empty() {
            fields.push(("Content-Type", call.media_type));
            fields.push(("Content-Length", &length));
        }
        let mut bytes = BytesMut::new();
        let fields = fields.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes()));
        encode::request(&mut bytes, call.method.as_bytes(), call.target.as_bytes(), fields);
        bytes.extend_from_slice(call.body);
        bytes
    }
}

/// The transfer of a body.
struct Transfer {
    /// The length of the body, if it is known.
    length: Option<u64>,
    started: Instant,
    /// The time that it may take.
    available: Duration,
    /// The time for which its rate is observed first.
    observed: Duration,
}

impl Transfer {
    fn new(response: &Response, deadline: Instant, silence: Millis) -> Transfer {
        let length = match response.framing {
            Framing::Length(length) => Some(length),
            _ => None,
        };
        let started = Instant::now();
        let available = deadline.saturating_duration_since(started);
        Transfer { length, started, available, observed: silence.duration() }
    }

    /// Whether the rest can't be received in time at the rate so far.
    fn is_too_slow(&self, received: usize) -> bool {
        let elapsed = self.started.elapsed();
        let expected = received as f64 * self.available.as_secs_f64() / elapsed.as_secs_f64();
        elapsed >= self.observed && self.length.is_some_and(|length| expected < length as f64)
    }
}

fn no_response(source: Error) -> Failure {
    Failure::NoResponse { source }
}

fn since(started: Instant) -> Millis {
    Millis(started.elapsed().as_millis() as u64)
}

async fn reusable(idle: Option<Reader<TcpStream>>) -> Option<Reader<TcpStream>> {
    let mut idle = idle?;
    idle.is_reusable().await.then_some(idle)
}
