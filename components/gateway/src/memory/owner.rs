//! What one connection holds.

use super::Purpose;
use clock::Millis;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A connection whose caller has taken no byte of a response for this time may be closed for others.
const UNREAD_SPAN: Millis = Millis(2_000);

/// What one connection holds.
#[derive(Debug, Default)]
pub struct Owner {
    pub(super) upload: Cell<u64>,
    pub(super) upload_since: Cell<Millis>,
    pub(super) responses: Cell<u64>,
    pub(super) responses_since: Cell<Millis>,
    /// Since when the caller has taken no byte of what is ready for it.
    unread_since: Cell<Option<Millis>>,
    pub(super) is_refused: Cell<bool>,
    pub(super) refused: Notify,
    pub(super) is_closed: Cell<bool>,
    pub(super) closed: Notify,
    /// Requests without a response.
    pub pending: Cell<usize>,
    /// Responses that are passed on before they are complete.
    streaming: Cell<usize>,
    streamed: Notify,
}

/// A response of a connection that is passed on before it is complete.
#[derive(Debug)]
pub struct Streaming(Rc<Owner>);

impl Owner {
    /// Waits until the request that is being read has to be refused.
    pub async fn refused(&self) {
        while !self.is_refused.get() {
            self.refused.notified().await;
        }
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        while !self.is_closed.get() {
            self.closed.notified().await;
        }
    }

    /// Waits until no response is passed on that its upstream may still break off.
    pub async fn streamed(&self) {
        while self.streaming.get() > 0 {
            self.streamed.notified().await;
        }
    }

    /// Records that the caller doesn't take what is ready for it at `now`.
    pub fn record_unread(&self, now: Millis) {
        self.unread_since.set(self.unread_since.get().or(Some(now)));
    }

    /// Records that the caller takes what is ready for it.
    pub fn record_read(&self) {
        self.unread_since.set(None);
    }

    /// For how long the caller hasn't taken a byte of what is ready for it.
    pub fn unread_span(&self, now: Millis) -> Millis {
        self.unread_since.get().map_or(Millis::ZERO, |since| now - since)
    }

    pub(super) fn is_unread(&self, now: Millis) -> bool {
        self.unread_span(now) >= UNREAD_SPAN && self.responses.get() > 0
    }

    /// Whether several requests wait for their responses.
    pub fn is_shared(&self) -> bool {
        self.pending.get() > 1
    }

    /// Begins to pass on a response that is not complete.
    pub fn stream(self: &Rc<Owner>) -> Streaming {
        self.streaming.set(self.streaming.get() + 1);
        Streaming(Rc::clone(self))
    }

    pub(super) fn change(&self, purpose: Purpose, bytes: u64, now: Option<Millis>) {
        let (held, since) = match purpose {
            Purpose::Upload => (&self.upload, &self.upload_since),
            Purpose::Response => (&self.responses, &self.responses_since),
            Purpose::Request => return,
        };
        match now {
            Some(now) => {
                if held.get() == 0 {
                    since.set(now);
                }
                held.set(held.get() + bytes);
            }
            None => held.set(held.get().saturating_sub(bytes)),
        }
    }
}

impl Drop for Streaming {
    fn drop(&mut self) {
        self.0.streaming.set(self.0.streaming.get().saturating_sub(1));
        self.0.streamed.notify_one();
    }
}
