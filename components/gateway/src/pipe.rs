//! A streamed body between its upstream and its caller. It is read ahead of a slow caller as far as
//! there is room, so that the upstream is done with it soon. See docs/design/slow-readers.md.

use crate::memory::{Hold, Purpose, Streaming};
use crate::reply::Piece;
use bytes::{Buf, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use telemetry::names;
use tokio::sync::Notify;

/// Bytes that wait for the caller, up to which more is taken if there is any memory left.
const ALWAYS_BYTES: u64 = 64 * 1024;
/// Bytes that wait for a caller that reads slowly: more than are there at the start.
const SLOW_BYTES: u64 = 512 * 1024;
/// What is sent in small pieces waits in parts of this size.
const PART_BYTES: usize = 16 * 1024;
/// Pieces from this size on are passed on without a copy if nothing waits before them.
const MIN_SHARED_BYTES: usize = 4 * 1024;
/// What a part costs beside its bytes.
const OVERHEAD_BYTES: u64 = 128;

/// The end at which pieces are put in.
#[derive(Debug)]
pub struct Sender {
    shared: Rc<Shared>,
    /// The connection; it holds no bytes itself.
    hold: Hold,
    is_ahead: Cell<bool>,
    is_held_back: Cell<bool>,
}

/// The end at which parts are taken out.
#[derive(Debug)]
pub struct Receiver(Rc<Shared>);

/// Bytes of a body, which count as memory of the connection until they are written.
#[derive(Debug)]
pub struct Part {
    /// The bytes.
    pub bytes: Bytes,
    /// What they cost.
    pub cost: Cost,
}

/// Memory that a part takes.
#[derive(Debug)]
pub struct Cost {
    hold: Hold,
    waiting: Rc<Cell<u64>>,
}

/// The caller has disconnected.
#[derive(Debug)]
pub struct Gone;

#[derive(Debug, Default)]
struct Shared {
    queue: RefCell<Queue>,
    /// What the parts that are not written yet cost.
    waiting: Rc<Cell<u64>>,
    is_abandoned: Cell<bool>,
    changed: Notify,
    abandoned: Notify,
}

#[derive(Debug, Default)]
struct Queue {
    parts: VecDeque<Part>,
    /// The last part, while it has room.
    open: Option<(BytesMut, Cost)>,
    end: Option<Piece>,
    is_over: bool,
}

/// A pipe for a response of the connection that `first` belongs to. It begins with `buffered`, which
/// `first` counts.
pub fn open(buffered: Bytes, first: Hold) -> (Sender, Receiver) {
    let shared: Rc<Shared> = Rc::default();
    let hold = first.sibling(Purpose::Response);
    if !buffered.is_empty() {
        shared.put(buffered, first);
    }
    let receiver = Receiver(Rc::clone(&shared));
    (Sender { shared, hold, is_ahead: Cell::default(), is_held_back: Cell::default() }, receiver)
}

impl Sender {
    /// Adds a piece of the body; waits while the caller reads slowly and there is no room. Small
    /// pieces share the memory of a part, whatever their size.
    ///
    /// # Errors
    ///
    /// [`Gone`].
    pub async fn send(&self, mut bytes: Bytes) -> Result<(), Gone> {
        while !bytes.is_empty() {
            if self.shared.is_abandoned.get() {
                return Err(Gone);
            }
            if self.shared.append(&mut bytes) {
                continue;
            }
            if self.shared.queue.borrow().is_empty() {
                let hold = self.room(bytes.len()).await?;
                // A slice keeps all that was read with it.
                let whole = match bytes.len() < MIN_SHARED_BYTES {
                    true => Bytes::copy_from_slice(&bytes),
                    false => bytes,
                };
                self.shared.put(whole, hold);
                return Ok(());
            } else {
                let hold = self.room(PART_BYTES).await?;
                self.shared.begin_part(hold);
            }
        }
        Ok(())
    }

    /// Waits until `length` bytes more may be held.
    async fn room(&self, length: usize) -> Result<Hold, Gone> {
        let mut hold = self.hold.sibling(Purpose::Response);
        let cost = length as u64 + OVERHEAD_BYTES;
        let memory = Rc::clone(self.hold.memory());
        loop {
            let freed = memory.freed();
            if self.shared.waiting.get() < ALWAYS_BYTES {
                if hold.try_grow(cost).is_ok() {
                    return Ok(hold);
                }
            } else if hold.try_grow_ahead(cost).is_ok() {
                if self.shared.waiting.get() >= SLOW_BYTES {
                    let text = "caller reads a response slowly; reading it ahead";
                    report(&self.is_ahead, "ahead", text);
                }
                return Ok(hold);
            }
            let text = "no memory to read a response ahead; its upstream waits for the caller";
            report(&self.is_held_back, "held_back", text);
            let abandoned = self.shared.abandoned.notified();
            if self.shared.is_abandoned.get() {
                return Err(Gone);
            }
            tokio::select! {
                () = abandoned => return Err(Gone),
                () = freed => {}
            }
        }
    }

    /// Marks the body as complete.
    pub fn end(&self) {
        self.shared.queue.borrow_mut().end = Some(Piece::End);
        self.shared.changed.notify_one();
    }

    /// Marks the body as truncated. It counts as `streaming` until the caller has what was read of it,
    /// so that no request is read that would lose its response with the connection.
    pub fn fail(self, streaming: Streaming) {
        self.shared.queue.borrow_mut().end = Some(Piece::Broken(streaming));
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.shared.queue.borrow_mut().is_over = true;
        self.shared.changed.notify_one();
    }
}

impl Receiver {
    /// The next part or the end of the body; `None` if it ends without a word.
    pub async fn next(&mut self) -> Option<Piece> {
        loop {
            {
                let mut queue = self.0.queue.borrow_mut();
                if let Some(part) = queue.parts.pop_front() {
                    return Some(Piece::Data(part));
                }
                if let Some((bytes, cost)) = queue.open.take() {
                    return Some(Piece::Data(Part { bytes: bytes.freeze(), cost }));
                }
                if let Some(end) = queue.end.take() {
                    return Some(end);
                }
                if queue.is_over {
                    return None;
                }
            }
            self.0.changed.notified().await;
        }
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.0.is_abandoned.set(true);
        self.0.abandoned.notify_waiters();
        // The sender may live on for as long as its upstream is silent.
        self.0.queue.take();
    }
}

impl Shared {
    /// Moves as much of `bytes` as fits to the open part. Returns whether there is one with room.
    fn append(&self, bytes: &mut Bytes) -> bool {
        let mut queue = self.queue.borrow_mut();
        let Some((open, _)) = &mut queue.open else {
            return false;
        };
        let fitting = bytes.len().min(open.capacity() - open.len());
        open.extend_from_slice(&bytes[..fitting]);
        bytes.advance(fitting);
        fitting > 0
    }

    fn begin_part(&self, hold: Hold) {
        let cost = self.cost(hold);
        let mut queue = self.queue.borrow_mut();
        queue.close_part();
        queue.open = Some((BytesMut::with_capacity(PART_BYTES), cost));
        self.changed.notify_one();
    }

    fn put(&self, bytes: Bytes, hold: Hold) {
        let cost = self.cost(hold);
        let mut queue = self.queue.borrow_mut();
        queue.close_part();
        queue.parts.push_back(Part { bytes, cost });
        self.changed.notify_one();
    }

    fn cost(&self, hold: Hold) -> Cost {
        self.waiting.set(self.waiting.get() + hold.bytes());
        Cost { hold, waiting: Rc::clone(&self.waiting) }
    }
}

impl Queue {
    fn is_empty(&self) -> bool {
        self.parts.is_empty() && self.open.is_none()
    }

    fn close_part(&mut self) {
        if let Some((bytes, cost)) = self.open.take() {
            self.parts.push_back(Part { bytes: bytes.freeze(), cost });
        }
    }
}

impl Drop for Cost {
    fn drop(&mut self) {
        self.waiting.set(self.waiting.get().saturating_sub(self.hold.bytes()));
    }
}

/// Reports something once for each response.
fn report(is_reported: &Cell<bool>, action: &'static str, text: &str) {
    if is_reported.replace(true) {
        return;
    }
    metrics::counter!(names::SLOW_READERS, names::ACTION => action).increment(1);
    if telemetry::admit_line() != telemetry::Admission::Suppressed {
        log::info!(target: "caller", action = action; "{text}");
    }
}
