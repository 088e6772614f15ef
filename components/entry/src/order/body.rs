use bytes::Bytes;
use clock::{Clock, Millis};
use errors::{Error, Kind};
use futures_util::stream;
use tokio::sync::mpsc;

/// The most items buffered between the upstream and the caller.
const ITEMS_MAX: usize = 4;

enum Item {
    Chunk(Bytes),
    Failed(Error),
    End,
}

/// Sends an order's response body to the caller, and discards it once the caller has disconnected.
pub(crate) struct Writer {
    items: Option<mpsc::Sender<Item>>,
    clock: Clock,
    deadline: Millis,
}

struct Reader {
    items: mpsc::Receiver<Item>,
    ended: bool,
}

/// Creates a writer, which gives up at `deadline`, and the caller's body that it fills.
pub(crate) fn channel(clock: Clock, deadline: Millis) -> (Writer, caller::Body) {
    let (sender, receiver) = mpsc::channel(ITEMS_MAX);
    let writer = Writer { items: Some(sender), clock, deadline };
    let reader = Reader { items: receiver, ended: false };
    let body = stream::unfold(reader, |mut reader| async move {
        let item = reader.next().await?;
        Some((item, reader))
    });
    (writer, Box::pin(body))
}

impl Writer {
    pub(crate) async fn write(&mut self, chunk: Bytes) {
        self.send(Item::Chunk(chunk)).await;
    }

    pub(crate) async fn fail(mut self, error: Error) {
        self.send(Item::Failed(error)).await;
    }

    pub(crate) async fn end(mut self) {
        self.send(Item::End).await;
    }

    // Once the caller has disconnected or an item was not sent before the deadline, nothing more is
    // sent: a body with a gap could pass for a complete one.
    async fn send(&mut self, item: Item) {
        let Some(items) = &self.items else {
            return;
        };
        let timeout = self.deadline - self.clock.now();
        let sent = tokio::time::timeout(timeout.duration(), items.send(item)).await;
        if !matches!(sent, Ok(Ok(()))) {
            self.items = None;
        }
    }
}

impl Reader {
    async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        if self.ended {
            return None;
        }
        let item = self.items.recv().await;
        self.ended = !matches!(item, Some(Item::Chunk(_)));
        match item {
            Some(Item::Chunk(chunk)) => Some(Ok(chunk)),
            Some(Item::End) => None,
            Some(Item::Failed(error)) => Some(Err(error)),
            None => Some(Err(Error::new(Kind::OutcomeUnknown, "the order's task has stopped"))),
        }
    }
}
