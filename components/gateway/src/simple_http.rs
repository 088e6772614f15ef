//! An HTTP server for short, synchronous responses: look-ups, readiness, metrics, and changes that
//! peers fetch. Each connection handles one request at a time.

use crate::closing::{self, Cause};
use crate::core::Core;
use crate::crowd::{Crowd, Guest};
use crate::process::other_connections;
use crate::reply::{Body, Reply};
use bytes::{Bytes, BytesMut};
use clock::{Clock, Millis};
use http1::{Error, Reader, Request, encode, net};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// Limit for a request's head, and also for its body, which is ignored.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Time until the next request is answered, including idle time.
const IDLE_TIMEOUT: Millis = Millis::from_secs(15);
/// TCP keepalive and user timeout: a peer or caller that acknowledges nothing for this time is
/// gone.
const SILENCE_TIMEOUT: Millis = Millis::from_secs(4);

/// Handles a request.
pub type Handler = Rc<dyn Fn(&Request) -> Reply>;

/// Serves connections of `listener` until the process ends; logs and metrics call it `name`.
pub async fn serve(core: Rc<Core>, listener: TcpListener, name: &'static str, handler: Handler) {
    let crowd: Rc<Crowd> = Rc::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(guest) = crowd.admit(other_connections(&core), core.clock.now()) else {
                    closing::report(name, Cause::Full);
                    continue;
                };
                let (handler, clock) = (Rc::clone(&handler), core.clock);
                tokio::task::spawn_local(async move {
                    if let Some(cause) = connection(stream, handler, guest, clock).await {
                        closing::report(name, cause);
                    }
                });
            }
            Err(error) => {
                log::warn!(
                    target: "listener", cause:% = error;
                    "can't accept a connection; retrying"
                );
                tokio::time::sleep(Millis(50).duration()).await;
            }
        }
    }
}

/// Serves a connection. Returns why this process closes it, or `None` if the other end does.
async fn connection(
    stream: TcpStream,
    handler: Handler,
    guest: Guest,
    clock: Clock,
) -> Option<Cause> {
    if net::configure(&stream, SILENCE_TIMEOUT).is_err() {
        return None;
    }
    let mut reader = Reader::new(stream);
    let serving = async {
        loop {
            let has_begun = Cell::new(false);
            let exchange = exchange(&mut reader, &handler, &has_begun);
            match tokio::time::timeout(IDLE_TIMEOUT.duration(), exchange).await {
                Ok(Ok(true)) => guest.place.end(clock.now()),
                Ok(Ok(false)) => return None,
                Ok(Err(Error::Closed | Error::Truncated | Error::Broken { .. })) => return None,
                Ok(Err(_)) => return Some(Cause::Malformed),
                Err(_) if has_begun.get() => return Some(Cause::Slow),
                Err(_) => return Some(Cause::Idle),
            }
        }
    };
    tokio::select! {
        biased;
        () = guest.place.evicted() => Some(Cause::Connections),
        cause = serving => cause,
    }
}

/// Reads a request and writes the response; returns whether another request may follow.
async fn exchange(
    reader: &mut Reader<TcpStream>,
    handler: &Handler,
    has_begun: &Cell<bool>,
) -> Result<bool, Error> {
    reader.wait().await?;
    has_begun.set(true);
    let head = reader.request(MAX_HEAD_BYTES).await?;
    reader.skip(MAX_HEAD_BYTES as u64).await?;
    let bytes = encode_reply(handler(&head), &head);
    let written = reader.stream_mut().write_all(&bytes).await;
    written.map_err(|source| Error::Broken { source })?;
    Ok(head.keep_alive())
}

fn encode_reply(reply: Reply, request: &Request) -> BytesMut {
    let body = match reply.body {
        Body::Full(body) | Body::Counted(body, _) => body,
        Body::Empty { .. } | Body::Stream { .. } => Bytes::new(),
    };
    let length = body.len().to_string();
    let mut added: Vec<(&[u8], &[u8])> = vec![(b"Content-Length", length.as_bytes())];
    if !request.keep_alive() {
        added.push((b"Connection", b"close"));
    }
    let mut bytes = BytesMut::with_capacity(256 + body.len());
    let fields = reply.headers.iter().map(http1::Header::parts).chain(added);
    encode::response(&mut bytes, reply.status, fields);
    if request.method != "HEAD" {
        bytes.extend_from_slice(&body);
    }
    bytes
}
