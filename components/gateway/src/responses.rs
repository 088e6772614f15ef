//! The writing side of a caller's connection: responses in the order of their requests.

use crate::core::Core;
use crate::crowd::Place;
use crate::memory::{Hold, Owner};
use crate::pipe::{self, Part};
use crate::reply::{Body, Piece, Reply};
use bytes::{Bytes, BytesMut};
use clock::Millis;
use http1::{encode, net};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, oneshot};

/// Bodies up to this size are written together with the head.
const MAX_JOINED_BYTES: usize = 16 * 1024;
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What is written to a caller next.
pub enum Item {
    /// `100 Continue`: the caller waits for it before it sends a body.
    Continue,
    /// The response to a request.
    Response(Pending),
}

/// A request whose response is not written yet.
pub struct Pending {
    /// Receives the response.
    pub reply: oneshot::Receiver<Reply>,
    /// The id of the caller's attempt.
    pub id: Bytes,
    /// What it costs; nothing for a request that could not be read.
    pub hold: Option<Hold>,
    /// Whether the caller wants to keep the connection open.
    pub keep_alive: bool,
    /// Whether the caller uses HTTP/1.1, rather than 1.0.
    pub http11: bool,
    /// Whether the response has no body, as that to HEAD.
    pub is_head: bool,
}

/// Activity of a connection, shared by its reader and writer.
pub struct Activity {
    /// What the connection holds.
    pub owner: Rc<Owner>,
    /// The connection's place among those of its listener.
    pub place: Rc<Place>,
    /// When the last response was written.
    pub last_response: Cell<Millis>,
}

impl Activity {
    /// Records a request that will have a response.
    pub fn begin(&self) {
        self.owner.pending.set(self.owner.pending.get() + 1);
        self.place.begin();
    }

    fn end(&self, now: Millis) {
        self.owner.pending.set(self.owner.pending.get().saturating_sub(1));
        self.last_response.set(now);
        if self.owner.pending.get() == 0 {
            self.place.end(now);
        }
    }
}

/// Writes the responses in order. Returns whether the connection was closed in order, after the
/// last response.
pub async fn write(
    core: Rc<Core>,
    write: OwnedWriteHalf,
    mut queue: mpsc::Receiver<Item>,
    activity: Rc<Activity>,
) -> bool {
    while let Some(next) = queue.recv().await {
        let Item::Response(next) = next else {
            if write_all(&core, &activity.owner, &write, CONTINUE).await.is_err() {
                return false;
            }
            continue;
        };
        // A request's task ends without a response when its caller has disconnected.
        let Ok(reply) = next.reply.await else {
            return false;
        };
        let last = queue.is_closed() && queue.is_empty();
        let close = !next.keep_alive || (core.is_stopping() && last);
        let writer = ResponseWriter {
            core: &core,
            owner: &activity.owner,
            to: &write,
            id: &next.id,
            close,
            http11: next.http11,
            is_head: next.is_head,
        };
        let written = writer.write(completable(reply)).await;
        activity.end(core.clock.now());
        drop(next.hold);
        if !written {
            // HTTP/1.0 has no chunks: an orderly end would make the response look complete.
            if !next.http11 {
                reset(write);
            }
            return false;
        }
        if close {
            break;
        }
    }
    let mut write = write;
    // Fails if the caller has closed first.
    write.shutdown().await.is_ok()
}

/// Writes all of `bytes`; records meanwhile whether the caller takes them.
async fn write_all(
    core: &Core,
    owner: &Owner,
    to: &OwnedWriteHalf,
    bytes: &[u8],
) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        match to.try_write(rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(length) => {
                owner.record_read();
                rest = &rest[length..];
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                owner.record_unread(core.clock.now());
                to.writable().await?;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// The response itself, or an error in place of one that is known to be incomplete: the responses
/// behind it are not lost then.
fn completable(reply: Reply) -> Reply {
    match &reply.body {
        Body::Stream { failure, .. } => match failure.get() {
            Some(kind) => Reply::failure(kind, None),
            None => reply,
        },
        _ => reply,
    }
}

/// Ends the connection with a reset once its reader ends too, which it does after the only request
/// of an HTTP/1.0 caller.
fn reset(write: OwnedWriteHalf) {
    if let Err(error) = net::reset_on_close(write.as_ref()) {
        log::warn!(
            target: "caller", cause:% = error;
            "can't reset the connection after a truncated response; closing it"
        );
        return;
    }
    // Dropping it would shut the connection down in order first.
    write.forget();
}

struct ResponseWriter<'a> {
    core: &'a Core,
    owner: &'a Owner,
    to: &'a OwnedWriteHalf,
    id: &'a Bytes,
    close: bool,
    http11: bool,
    is_head: bool,
}

impl ResponseWriter<'_> {
    async fn write_all(&self, bytes: &[u8]) -> io::Result<()> {
        write_all(self.core, self.owner, self.to, bytes).await
    }

    /// Writes a response; returns false if it could not be completed.
    async fn write(&self, reply: Reply) -> bool {
        let mut bytes = BytesMut::with_capacity(512);
        match reply.body {
            Body::Full(body) => self.complete(reply.status, &reply.headers, &body).await,
            Body::Counted(body, hold) => {
                let written = self.complete(reply.status, &reply.headers, &body).await;
                drop(hold);
                written
            }
            Body::Empty { length, head } => {
                self.head(&mut bytes, reply.status, &reply.headers, length);
                let written = self.write_all(&bytes).await.is_ok();
                drop(head);
                written
            }
            Body::Stream { length, mut pieces, head, .. } => {
                self.head(&mut bytes, reply.status, &reply.headers, length);
                let chunked = length.is_none() && self.http11;
                if self.write_all(&bytes).await.is_err() {
                    return false;
                }
                drop((head, reply.headers));
                self.pieces(&mut pieces, chunked).await
            }
        }
    }

    /// Writes a response whose body is in memory.
    async fn complete(&self, status: u16, headers: &http1::Headers, body: &Bytes) -> bool {
        let joined = if body.len() <= MAX_JOINED_BYTES { body.len() } else { 0 };
        let mut bytes = BytesMut::with_capacity(512 + joined);
        self.head(&mut bytes, status, headers, Some(body.len() as u64));
        if self.is_head {
            return self.write_all(&bytes).await.is_ok();
        }
        bytes.extend_from_slice(&body[..joined]);
        self.write_all(&bytes).await.is_ok() && self.write_all(&body[joined..]).await.is_ok()
    }

    async fn pieces(&self, pieces: &mut pipe::Receiver, chunked: bool) -> bool {
        while let Some(piece) = pieces.next().await {
            let written = match piece {
                Piece::Data(part) if !chunked => self.write_all(&part.bytes).await,
                Piece::Data(Part { bytes: data, cost }) => {
                    let mut bytes = BytesMut::with_capacity(data.len() + 16);
                    encode::chunk(&mut bytes, &data);
                    // What waits is the copy.
                    drop(data);
                    let written = self.write_all(&bytes).await;
                    drop(cost);
                    written
                }
                Piece::End if chunked => {
                    let mut bytes = BytesMut::new();
                    encode::last_chunk(&mut bytes);
                    return self.write_all(&bytes).await.is_ok();
                }
                Piece::End => return true,
                Piece::Broken(streaming) => {
                    // The connection ends before its reader can go on.
                    drop(streaming);
                    return false;
                }
            };
            if written.is_err() {
                return false;
            }
        }
        false
    }

    fn head(
        &self,
        into: &mut BytesMut,
        status: u16,
        headers: &http1::Headers,
        length: Option<u64>,
    ) {
        let name = self.core.protocol.names().request_id;
        let text = length.map(|length| length.to_string());
        let mut added: Vec<(&[u8], &[u8])> = Vec::with_capacity(3);
        match &text {
            Some(text) => added.push((b"Content-Length", text.as_bytes())),
            None if self.http11 => added.push((b"Transfer-Encoding", b"chunked")),
            None => {}
        }
        if !self.id.is_empty() && headers.get(name).is_none() {
            added.push((name.as_bytes(), self.id));
        }
        if self.close {
            added.push((b"Connection", b"close"));
        }
        encode::response(into, status, headers.iter().map(http1::Header::parts).chain(added));
    }
}
