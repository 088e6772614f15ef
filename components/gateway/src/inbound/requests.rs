//! The reading side of a caller's connection.

use crate::core::{Core, Phase};
use crate::forward;
use crate::reply::Reply;
use crate::responses::{Activity, Item, Pending};
use crate::upload::{self, Content, Failure};
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::{Error, Framing, Reader, Request, net};
use std::cell::Cell;
use std::rc::Rc;
use steering::routing::{Effect, Limits};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot, watch};

/// Time to receive the body of a request after its head.
const BODY_TIMEOUT: Millis = Millis::from_secs(10);
/// The longest user timeout, whatever a caller says of its time.
const MAX_SILENCE_TIMEOUT: Millis = Millis::from_secs(60);
/// How much later than its last deadline a caller that doesn't read is gone.
const SILENCE_MARGIN: Millis = Millis(1_000);
/// How often a connection that reads no more checks whether the caller has closed it.
const CLOSE_POLL_INTERVAL: Millis = Millis(100);

/// The reading side of a connection.
pub struct RequestReader<'a> {
    pub core: &'a Rc<Core>,
    pub activity: Rc<Activity>,
    pub queue: mpsc::Sender<Item>,
    pub disconnected: watch::Receiver<bool>,
    /// The user timeout of the connection.
    pub silence_timeout: Cell<Millis>,
}

impl RequestReader<'_> {
    /// Reads requests until the connection ends. Returns whether the caller has disconnected.
    pub async fn run(self, reader: &mut Reader<OwnedReadHalf>) -> bool {
        loop {
            match self.await_request(reader).await {
                Input::Available => {}
                Input::Disconnected => return true,
                Input::IdleTimeout | Input::Stopping => return false,
            }
            // A response that its upstream may still break off takes along what is behind it.
            tokio::select! {
                biased;
                () = self.queue.closed() => return true,
                () = self.activity.owner.streamed() => {}
            }
            // The configuration may have changed while the connection was idle.
            let limits = self.core.table().limits();
            let mut is_head = false;
            let read = self.read_request(reader, limits, &mut is_head).await;
            let (head, body) = match read {
                Ok(request) => request,
                Err(ReadError::Disconnected) => return true,
                Err(ReadError::Rejected(kind)) => {
                    self.reject(kind, is_head).await;
                    return false;
                }
            };
            let keep_alive = head.keep_alive();
            self.extend_silence(reader.stream().as_ref(), &head);
            if !self.dispatch(head, body).await {
                return true;
            }
            if !keep_alive {
                return self.await_close(reader).await;
            }
        }
    }

    /// Waits for bytes of the next request, or for a reason to read no more.
    async fn await_request(&self, reader: &mut Reader<OwnedReadHalf>) -> Input {
        let mut phase = self.core.phase.subscribe();
        let mut idle_timeout = self.core.idle_timeout.subscribe();
        loop {
            let has_pending = self.activity.owner.pending.get() > 0;
            match *phase.borrow_and_update() {
                Phase::Serving => {}
                // The last pending response closes the connection, so no further request is read.
                Phase::Stopping if has_pending => return Input::Stopping,
                Phase::Stopping => {}
                Phase::Closing
                    if reader.has_bytes() || net::has_received(reader.stream().as_ref()) => {}
                Phase::Closing | Phase::Ending => return Input::Stopping,
            }
            let timeout = *idle_timeout.borrow_and_update();
            let idle_since = self.activity.last_response.get();
            let idle = match self.activity.owner.pending.get() {
                0 => idle_since + timeout - self.core.clock.now(),
                _ => timeout,
            };
            tokio::select! {
                biased;
                ready = reader.wait() => return match ready {
                    Ok(()) => Input::Available,
                    Err(_) => Input::Disconnected,
                },
                _ = phase.changed() => {}
                _ = idle_timeout.changed() => {}
                () = tokio::time::sleep(idle.duration()) => {
                    let expired = self.activity.last_response.get() + timeout;
                    if self.activity.owner.pending.get() == 0 && self.core.clock.now() >= expired {
                        return Input::IdleTimeout;
                    }
                }
            }
        }
    }

    /// Lets the caller read its response until the end of its time, also if it doesn't read until then.
    fn extend_silence(&self, stream: &TcpStream, head: &Request) {
        let now = self.core.clock.now();
        let budget = forward::budget(self.core, head);
        // The kernel counts from the last byte that the caller took.
        let unread = self.activity.owner.unread_span(now);
        let timeout = (unread + budget + SILENCE_MARGIN).min(MAX_SILENCE_TIMEOUT);
        if timeout <= self.silence_timeout.get() {
            return;
        }
        self.silence_timeout.set(timeout);
        if let Err(error) = net::set_user_timeout(stream, timeout) {
            log::debug!(
                target: "caller", cause:% = error;
                "can't set a longer user timeout; a caller that doesn't read is closed sooner"
            );
        }
    }

    /// Starts processing a request. Returns false if the connection's writer has ended.
    async fn dispatch(&self, head: Request, mut body: Content) -> bool {
        let arrived = self.core.clock.now();
        let name = self.core.protocol.names().request_id;
        let id = head.headers.get(name);
        // A slice would keep the whole head until the response is written.
        let id = id.map(|id| Bytes::copy_from_slice(id)).unwrap_or_default();
        let hold = Some(body.split_pending(id.len()));
        let (sender, reply) = oneshot::channel();
        let pending = Pending {
            reply,
            id,
            hold,
            keep_alive: head.keep_alive(),
            http11: head.http11,
            is_head: head.method == "HEAD",
        };
        self.activity.begin();
        let core = Rc::clone(self.core);
        let mut disconnected = self.disconnected.clone();
        core.in_flight.set(core.in_flight.get() + 1);
        tokio::task::spawn_local(async move {
            let is_cancellable = is_cancellable(&core, &head);
            let forward = forward::forward(&core, head, body, arrived, disconnected.clone());
            let mut phase = core.phase.subscribe();
            let reply = tokio::select! {
                reply = forward => Some(reply),
                // An order that was sent is completed even if its caller has disconnected.
                Ok(_) = disconnected.wait_for(|is_gone| *is_gone), if is_cancellable => None,
                Ok(_) = phase.wait_for(|phase| *phase == Phase::Ending) => {
                    Some(Reply::failure(Kind::DeadlineAfterSend, None))
                }
            };
            core.in_flight.set(core.in_flight.get() - 1);
            if let Some(reply) = reply {
                // Fails if the caller has disconnected.
                let _ = sender.send(reply);
            }
        });
        self.queue.send(Item::Response(pending)).await.is_ok()
    }

    /// Queues an error response to a request that could not be read; it closes the connection.
    async fn reject(&self, kind: Kind, is_head: bool) {
        metrics::counter!(telemetry::names::REFUSALS, telemetry::names::KIND => kind.as_str())
            .increment(1);
        if telemetry::admit_line() != telemetry::Admission::Suppressed {
            log::info!(
                target: "caller", kind = kind.as_str(), version = self.core.table().version();
                "request rejected while it was read; closing the connection"
            );
        }
        let (sender, reply) = oneshot::channel();
        // Can't fail, as the receiver is still in scope.
        let _ = sender.send(Reply::failure(kind, None));
        let (id, hold) = (Bytes::new(), None);
        let pending = Pending { reply, id, hold, keep_alive: false, http11: true, is_head };
        self.activity.begin();
        // Fails if the writer has ended because the caller disconnected.
        let _ = self.queue.send(Item::Response(pending)).await;
    }

    async fn read_request(
        &self,
        reader: &mut Reader<OwnedReadHalf>,
        limits: Limits,
        is_head: &mut bool,
    ) -> Result<(Request, Content), ReadError> {
        let head = reader.request(limits.head_bytes);
        let head = tokio::time::timeout(limits.head_timeout.duration(), head).await;
        let head = head.map_err(|_| ReadError::Rejected(Kind::SlowCaller))?.map_err(read_error)?;
        *is_head = head.method == "HEAD";
        if head.headers.all("host").count() != 1 {
            return Err(ReadError::Rejected(Kind::Malformed));
        }
        if awaits_continue(&head, limits) && !reader.has_bytes() {
            // Fails if the writer has ended because the caller disconnected.
            let _ = self.queue.send(Item::Continue).await;
        }
        let owner = &self.activity.owner;
        let body = upload::read(self.core, owner, reader, &head, limits.body_bytes);
        let body = tokio::time::timeout(BODY_TIMEOUT.duration(), body).await;
        match body.map_err(|_| ReadError::Rejected(Kind::SlowCaller))? {
            Ok(body) => Ok((head, body)),
            Err(Failure::Full) => Err(ReadError::Rejected(Kind::Overloaded)),
            Err(Failure::Unreadable(error)) => Err(read_error(error)),
        }
    }

    /// After the last request, waits for the caller to disconnect or for the response to be
    /// written. Returns whether the caller disconnected before the response.
    async fn await_close(&self, reader: &mut Reader<OwnedReadHalf>) -> bool {
        let mut byte = [0; 1];
        loop {
            tokio::select! {
                () = self.queue.closed() => return false,
                peeked = reader.stream_mut().peek(&mut byte) => match peeked {
                    Ok(length) if length > 0 => {}
                    _ => return self.activity.owner.pending.get() > 0,
                },
            }
            // Bytes after the last request are not read, and hide that the caller disconnects.
            tokio::select! {
                () = self.queue.closed() => return false,
                () = tokio::time::sleep(CLOSE_POLL_INTERVAL.duration()) => {}
            }
        }
    }
}

enum Input {
    Available,
    Disconnected,
    IdleTimeout,
    Stopping,
}

enum ReadError {
    Disconnected,
    /// The request gets an error response.
    Rejected(Kind),
}

/// Whether the caller sends the body only after `100 Continue`, and the head alone is no reason to
/// refuse it.
fn awaits_continue(head: &Request, limits: Limits) -> bool {
    let is_allowed = match head.framing {
        Framing::Length(length) => length <= limits.body_bytes,
        Framing::Chunked => true,
        Framing::Empty | Framing::Close => false,
    };
    head.http11 && is_allowed && head.headers.has_token("expect", "100-continue")
}

fn read_error(error: Error) -> ReadError {
    match error {
        Error::Closed | Error::Truncated | Error::Broken { .. } => ReadError::Disconnected,
        Error::HeadTooLarge { .. } => ReadError::Rejected(Kind::HeadTooLarge),
        Error::BodyTooLarge { .. } => ReadError::Rejected(Kind::TooLarge),
        Error::Malformed { .. } => ReadError::Rejected(Kind::Malformed),
    }
}

/// Whether the request is cancelled when its caller disconnects.
fn is_cancellable(core: &Core, head: &Request) -> bool {
    let host = head.headers.text("host").unwrap_or_default();
    let table = core.table();
    table.route(host, head.path()).is_none_or(|route| route.effect != Effect::Order)
}
