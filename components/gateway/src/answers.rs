//! The writing side of a caller's connection: answers in the order of their requests.

use crate::core::Core;
use crate::reply::{Body, Piece, Reply};
use bytes::{Bytes, BytesMut};
use clock::Millis;
use http1::encode;
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::{mpsc, oneshot};

/// A request whose answer is due.
pub struct Pending {
    /// The answer, once it is there.
    pub reply: oneshot::Receiver<Reply>,
    /// The id of the caller's attempt.
    pub id: Bytes,
    /// Whether the caller keeps the connection.
    pub keeps: bool,
    /// Whether the caller speaks HTTP/1.1.
    pub modern: bool,
}

/// What reader and writer of a connection share.
#[derive(Default)]
pub struct Activity {
    /// Requests without an answer.
    pub unanswered: Cell<usize>,
    /// When the last answer was written.
    pub last: Cell<Millis>,
}

/// Writes the answers in order; true if the connection ended with an answer that said so.
pub async fn write(
    core: Rc<Core>,
    mut write: OwnedWriteHalf,
    mut pending: mpsc::Receiver<Pending>,
    activity: Rc<Activity>,
) -> bool {
    while let Some(next) = pending.recv().await {
        // The request's task ends without an answer when its caller has left.
        let Ok(reply) = next.reply.await else {
            return false;
        };
        let last = pending.is_closed() && pending.is_empty();
        let closes = !next.keeps || (core.is_stopping() && last);
        let written = Writing { core: &core, id: &next.id, closes, modern: next.modern }
            .write(&mut write, reply)
            .await;
        activity.unanswered.set(activity.unanswered.get().saturating_sub(1));
        activity.last.set(core.clock.now());
        if !written {
            return false;
        }
        if closes {
            break;
        }
    }
    // The caller may have closed first.
    write.shutdown().await.is_ok()
}

/// How one answer is written.
struct Writing<'a> {
    core: &'a Core,
    id: &'a Bytes,
    closes: bool,
    modern: bool,
}

impl Writing<'_> {
    /// Writes an answer; false if it could not be completed.
    async fn write(&self, write: &mut OwnedWriteHalf, reply: Reply) -> bool {
        let mut bytes = BytesMut::with_capacity(512);
        match reply.body {
            Body::Whole(body) => {
                self.head(&mut bytes, reply.status, &reply.headers, Some(body.len() as u64));
                bytes.extend_from_slice(&body);
                write.write_all(&bytes).await.is_ok()
            }
            Body::Absent { length } => {
                self.head(&mut bytes, reply.status, &reply.headers, length);
                write.write_all(&bytes).await.is_ok()
            }
            Body::Pieces { length, mut pieces } => {
                self.head(&mut bytes, reply.status, &reply.headers, length);
                let chunked = length.is_none() && self.modern;
                if write.write_all(&bytes).await.is_err() {
                    return false;
                }
                self.pieces(write, &mut pieces, chunked).await
            }
        }
    }

    async fn pieces(
        &self,
        write: &mut OwnedWriteHalf,
        pieces: &mut mpsc::Receiver<Piece>,
        chunked: bool,
    ) -> bool {
        while let Some(piece) = pieces.recv().await {
            let written = match piece {
                Piece::Data(data) if !chunked => write.write_all(&data).await,
                Piece::Data(data) => {
                    let mut bytes = BytesMut::with_capacity(data.len() + 16);
                    encode::chunk(&mut bytes, &data);
                    write.write_all(&bytes).await
                }
                Piece::End if chunked => {
                    let mut bytes = BytesMut::new();
                    encode::last_chunk(&mut bytes);
                    return write.write_all(&bytes).await.is_ok();
                }
                Piece::End => return true,
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
            None if self.modern => added.push((b"Transfer-Encoding", b"chunked")),
            None => {}
        }
        if !self.id.is_empty() && headers.get(name).is_none() {
            added.push((name.as_bytes(), self.id));
        }
        if self.closes {
            added.push((b"Connection", b"close"));
        }
        encode::response(into, status, headers.iter().map(http1::Header::parts).chain(added));
    }
}
