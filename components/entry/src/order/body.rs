use bytes::Bytes;
use clock::{Clock, Millis};
use errors::{Error, Kind};
use futures_util::stream;
use tokio::sync::mpsc;

/// Pieces between the upstream and the caller.
const PIECES_MAX: usize = 4;

enum Piece {
    Chunk(Bytes),
    Failed(Error),
    End,
}

/// The order's side of an answer: it outlives a caller that has gone.
pub(crate) struct Writer {
    pieces: Option<mpsc::Sender<Piece>>,
    clock: Clock,
    deadline: Millis,
}

struct Reader {
    pieces: mpsc::Receiver<Piece>,
    over: bool,
}

/// A writer and the caller's body that it fills until `deadline`.
pub(crate) fn channel(clock: Clock, deadline: Millis) -> (Writer, caller::Body) {
    let (sender, receiver) = mpsc::channel(PIECES_MAX);
    let writer = Writer { pieces: Some(sender), clock, deadline };
    let reader = Reader { pieces: receiver, over: false };
    let body = stream::unfold(reader, |mut reader| async move {
        let item = reader.next().await?;
        Some((item, reader))
    });
    (writer, Box::pin(body))
}

impl Writer {
    pub(crate) async fn write(&mut self, chunk: Bytes) {
        self.put(Piece::Chunk(chunk)).await;
    }

    pub(crate) async fn fail(mut self, error: Error) {
        self.put(Piece::Failed(error)).await;
    }

    pub(crate) async fn end(mut self) {
        self.put(Piece::End).await;
    }

    // A caller that has gone or reads too slowly gets nothing more: a gap would look like an answer.
    async fn put(&mut self, piece: Piece) {
        let Some(pieces) = &self.pieces else {
            return;
        };
        let left = self.deadline - self.clock.now();
        let sent = tokio::time::timeout(left.duration(), pieces.send(piece)).await;
        if !matches!(sent, Ok(Ok(()))) {
            self.pieces = None;
        }
    }
}

impl Reader {
    async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        if self.over {
            return None;
        }
        let piece = self.pieces.recv().await;
        self.over = !matches!(piece, Some(Piece::Chunk(_)));
        match piece {
            Some(Piece::Chunk(chunk)) => Some(Ok(chunk)),
            Some(Piece::End) => None,
            Some(Piece::Failed(error)) => Some(Err(error)),
            None => Some(Err(Error::new(Kind::OutcomeUnknown, "the answer was cut"))),
        }
    }
}
