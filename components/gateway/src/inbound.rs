//! Connections of callers: requests are read ahead and served at the same time, answers go out in
//! the order of their requests.

use crate::answers::{self, Activity, Pending};
use crate::core::{Core, Phase};
use crate::forward;
use crate::reply::Reply;
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::{Error, Reader, Request, net};
use std::rc::Rc;
use steering::routing::{Effect, Limits};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot, watch};

/// Requests of one connection that are served at the same time.
const PIPELINE: usize = 32;
/// Time for the body of a request once its head is there.
const BODY_TIMEOUT: Millis = Millis::from_secs(10);
/// Time without a sign of life after which a caller counts as gone.
const SILENCE: Millis = Millis::from_secs(5);
/// Time for which a closing connection waits for the caller to close too.
const LINGER: Millis = Millis(1_000);
/// How often a closing connection looks whether the caller has closed.
const LINGER_POLL: Millis = Millis(100);
/// The part of the memory that bodies of requests may take.
const BODIES_PART: u64 = 4;

/// Serves one connection until either side closes it.
pub async fn serve(core: Rc<Core>, stream: TcpStream) {
    if let Err(error) = net::tune(&stream, SILENCE) {
        log::debug!(target: "caller", cause:% = error; "connection lost at its start");
        return;
    }
    core.connections.set(core.connections.get() + 1);
    let (read, write) = stream.into_split();
    let (queue, pending) = mpsc::channel(PIPELINE);
    let (gone, left) = watch::channel(false);
    let activity = Rc::new(Activity::default());
    activity.last.set(core.clock.now());
    let writer = answers::write(Rc::clone(&core), write, pending, Rc::clone(&activity));
    let writer = tokio::task::spawn_local(writer);
    let mut reader = Reader::new(read);
    let caller_left = Intake { core: &core, activity, queue, left }.run(&mut reader).await;
    if caller_left {
        // Nobody is left to hear when the connection has no request under way.
        let _ = gone.send(true);
    }
    let lingers = writer.await.unwrap_or_else(|error| {
        log::error!(target: "caller", cause:% = error; "writer failed");
        false
    });
    if lingers && !caller_left {
        linger(&mut reader).await;
    }
    core.connections.set(core.connections.get() - 1);
}

/// Waits until the caller has closed too, since closing with unread bytes resets the connection
/// and would destroy an answer on its way. What the caller still sends stays unread.
async fn linger(reader: &mut Reader<OwnedReadHalf>) {
    let mut byte = [0; 1];
    let peek = async {
        while matches!(reader.stream_mut().peek(&mut byte).await, Ok(length) if length > 0) {
            tokio::time::sleep(LINGER_POLL.duration()).await;
        }
    };
    // Out of time, the connection is closed all the same.
    let _ = tokio::time::timeout(LINGER.duration(), peek).await;
}

/// The reading side of a connection.
struct Intake<'a> {
    core: &'a Rc<Core>,
    activity: Rc<Activity>,
    queue: mpsc::Sender<Pending>,
    left: watch::Receiver<bool>,
}

impl Intake<'_> {
    /// Reads requests until the connection ends; true if the caller has left.
    async fn run(self, reader: &mut Reader<OwnedReadHalf>) -> bool {
        loop {
            let limits = self.core.table().limits();
            match self.await_request(reader, limits).await {
                Waited::Here => {}
                Waited::CallerLeft => return true,
                Waited::Idle | Waited::Stopping => return false,
            }
            let (head, body) = match read_request(self.core, reader, limits).await {
                Ok(request) => request,
                Err(Refusal::Silent) => return true,
                Err(Refusal::Answer(kind)) => {
                    self.refuse(kind).await;
                    return false;
                }
            };
            let keeps = head.keeps();
            if !self.dispatch(head, body).await {
                return true;
            }
            if !keeps {
                return self.watch_close(reader).await;
            }
        }
    }

    async fn await_request(&self, reader: &mut Reader<OwnedReadHalf>, limits: Limits) -> Waited {
        let mut stopping = self.core.stopping.subscribe();
        loop {
            let unanswered = self.activity.unanswered.get() > 0;
            match *stopping.borrow_and_update() {
                Phase::Serving => {}
                // The answer that is due ends the connection, so nothing behind it may be read.
                Phase::Stopping if unanswered => return Waited::Stopping,
                Phase::Stopping => {}
                Phase::Closing if reader.has_bytes() => {}
                Phase::Closing | Phase::Ending => return Waited::Stopping,
            }
            let idle_since = self.activity.last.get();
            let idle = match self.activity.unanswered.get() {
                0 => idle_since + limits.idle_timeout - self.core.clock.now(),
                _ => limits.idle_timeout,
            };
            tokio::select! {
                biased;
                ready = reader.wait() => return match ready {
                    Ok(()) => Waited::Here,
                    Err(_) => Waited::CallerLeft,
                },
                _ = stopping.changed() => {}
                () = tokio::time::sleep(idle.duration()) => {
                    let expired = self.activity.last.get() + limits.idle_timeout;
                    if self.activity.unanswered.get() == 0 && self.core.clock.now() >= expired {
                        return Waited::Idle;
                    }
                }
            }
        }
    }

    /// Starts a request; false if the connection's writer is gone.
    async fn dispatch(&self, head: Request, body: Bytes) -> bool {
        let arrived = self.core.clock.now();
        let name = self.core.protocol.names().request_id;
        let id = head.headers.get(name).cloned().unwrap_or_default();
        let (sender, reply) = oneshot::channel();
        let pending = Pending { reply, id, keeps: head.keeps(), modern: head.modern };
        self.activity.unanswered.set(self.activity.unanswered.get() + 1);
        let core = Rc::clone(self.core);
        let mut left = self.left.clone();
        core.in_flight.set(core.in_flight.get() + 1);
        tokio::task::spawn_local(async move {
            let repeats = repeats(&core, &head);
            let held = body.len() as u64;
            let forward = forward::forward(&core, head, body, arrived);
            let mut phase = core.stopping.subscribe();
            let reply = tokio::select! {
                reply = forward => Some(reply),
                // An order that was sent is worth finishing, whoever still listens.
                Ok(_) = left.wait_for(|left| *left), if repeats => None,
                Ok(_) = phase.wait_for(|phase| *phase == Phase::Ending) => {
                    Some(Reply::failure(Kind::DeadlineAfterSend, None))
                }
            };
            core.in_flight.set(core.in_flight.get() - 1);
            core.held_bytes.set(core.held_bytes.get().saturating_sub(held));
            if let Some(reply) = reply {
                // The writer is gone when the caller is.
                let _ = sender.send(reply);
            }
        });
        self.queue.send(pending).await.is_ok()
    }

    /// Queues an answer to a request that can't be read, after which the connection ends.
    async fn refuse(&self, kind: Kind) {
        metrics::counter!(telemetry::names::REFUSALS, telemetry::names::KIND => kind.as_str())
            .increment(1);
        if telemetry::admit() != telemetry::Admission::Suppressed {
            log::info!(target: "caller", kind = kind.as_str(); "request can't be read");
        }
        let (sender, reply) = oneshot::channel();
        // The receiver stands in the next line.
        let _ = sender.send(Reply::failure(kind, None));
        let pending = Pending { reply, id: Bytes::new(), keeps: false, modern: true };
        self.activity.unanswered.set(self.activity.unanswered.get() + 1);
        // Without a writer the caller is gone.
        let _ = self.queue.send(pending).await;
    }

    /// After the last request: waits for the caller to leave or for the answer to be written.
    async fn watch_close(&self, reader: &mut Reader<OwnedReadHalf>) -> bool {
        let mut byte = [0; 1];
        loop {
            match reader.stream_mut().peek(&mut byte).await {
                Ok(length) if length > 0 => {}
                _ => return self.activity.unanswered.get() > 0,
            }
            // Bytes behind the last request stay unread; the caller's leaving is hidden by them.
            tokio::select! {
                () = self.queue.closed() => return false,
                () = tokio::time::sleep(LINGER_POLL.duration()) => {}
            }
        }
    }
}

enum Waited {
    Here,
    CallerLeft,
    Idle,
    Stopping,
}

enum Refusal {
    Silent,
    Answer(Kind),
}

async fn read_request(
    core: &Core,
    reader: &mut Reader<OwnedReadHalf>,
    limits: Limits,
) -> Result<(Request, Bytes), Refusal> {
    let head = reader.request(limits.head_bytes);
    let head = tokio::time::timeout(limits.head_timeout.duration(), head).await;
    let head = head.map_err(|_| Refusal::Answer(Kind::SlowCaller))?.map_err(refusal)?;
    if head.headers.all("host").count() != 1 {
        return Err(Refusal::Answer(Kind::Malformed));
    }
    let room = core.settings().memory_bytes / BODIES_PART;
    let body = tokio::time::timeout(BODY_TIMEOUT.duration(), reader.body(limits.body_bytes)).await;
    let body = body.map_err(|_| Refusal::Answer(Kind::SlowCaller))?.map_err(refusal)?;
    let held = core.held_bytes.get() + body.len() as u64;
    if held > room {
        return Err(Refusal::Answer(Kind::Overloaded));
    }
    core.held_bytes.set(held);
    Ok((head, body))
}

fn refusal(error: Error) -> Refusal {
    match error {
        Error::Closed | Error::Truncated | Error::Broken { .. } => Refusal::Silent,
        Error::HeadTooLarge { .. } => Refusal::Answer(Kind::HeadTooLarge),
        Error::BodyTooLarge { .. } => Refusal::Answer(Kind::TooLarge),
        Error::Malformed { .. } => Refusal::Answer(Kind::Malformed),
    }
}

/// Whether the request may be ended when its caller leaves.
fn repeats(core: &Core, head: &Request) -> bool {
    let host = head.headers.text("host").unwrap_or_default();
    let table = core.table();
    table.route(host, head.path()).is_none_or(|route| route.effect != Effect::Order)
}
