use crate::fake::{Fault, entity, entity_tag};
use crate::load::Load;
use crate::{Attempt, Body, Failure, Reply, StatusCode, header};
use bytes::Bytes;
use clock::{Clock, Millis};
use futures_util::stream;
use reqwest::Method;
use reqwest::header::{
    ACCEPT_RANGES, CONTENT_LENGTH, CONTENT_RANGE, ETAG, HeaderMap, HeaderValue, IF_RANGE, RANGE,
};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The capacity and speed of a server.
#[derive(Clone, Copy, Debug)]
pub struct Performance {
    /// Requests that are executed at a time.
    pub slots: u32,
    /// Requests that may wait for a slot; further ones are shed with 503.
    pub queue: u32,
    /// Time to execute a request.
    pub service_time: Millis,
    /// Bytes of a chunk of the response.
    pub chunk_bytes: usize,
    /// Time between chunks.
    pub chunk_interval: Millis,
}

impl Default for Performance {
    fn default() -> Performance {
        Performance {
            slots: 3,
            queue: 30,
            service_time: Millis(5),
            chunk_bytes: 4096,
            chunk_interval: Millis(1),
        }
    }
}

/// One executed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The server.
    pub upstream: Arc<str>,
    /// When the execution began.
    pub at: Millis,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: Arc<str>,
    /// The request's id, empty if it had none.
    pub request: String,
    /// The order's id, empty if it had none.
    pub order: String,
}

/// An in-memory upstream, in virtual or real time.
pub struct Server {
    name: Arc<str>,
    clock: Clock,
    performance: Mutex<Performance>,
    slots: Arc<Semaphore>,
    waiting: AtomicU32,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    down: bool,
    leaving: bool,
    running: Arc<AtomicU32>,
    reported: Option<Load>,
    revision: u32,
    faults: VecDeque<Fault>,
    runs: Vec<Run>,
}

struct Slot {
    running: Arc<AtomicU32>,
    _permit: OwnedSemaphorePermit,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Server {
    /// A server that is up, idle and without faults.
    pub fn new(name: Arc<str>, clock: Clock, performance: Performance) -> Server {
        Server {
            name,
            clock,
            performance: Mutex::new(performance),
            slots: Arc::new(Semaphore::new(performance.slots as usize)),
            waiting: AtomicU32::new(0),
            state: Mutex::default(),
        }
    }

    /// Queues a fault; each request takes the first one of the queue.
    pub fn inject(&self, fault: Fault) {
        self.state().faults.push_back(fault);
    }

    /// Queues a fault before all others, for the next request.
    pub(super) fn inject_first(&self, fault: Fault) {
        self.state().faults.push_front(fault);
    }

    /// Makes the server unreachable, or reachable again.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    /// Marks the server as leaving in its responses and load reports.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().leaving = leaving;
    }

    /// Makes the server report `load`; with `None`, its real load.
    pub fn set_reported(&self, load: Option<Load>) {
        self.state().reported = load;
    }

    /// Changes the time to execute a request.
    pub fn set_service_time(&self, time: Millis) {
        self.performance.lock().expect("no panic while locked").service_time = time;
    }

    /// The requests that the server executed, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// The server's load report.
    ///
    /// # Errors
    ///
    /// [`Failure::NotSent`] while the server is down.
    pub fn load(&self) -> Result<Load, Failure> {
        let state = self.state();
        if state.down {
            return Err(not_sent("down"));
        }
        let load = Load {
            running: state.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            leaving: state.leaving,
        };
        Ok(state.reported.unwrap_or(load))
    }

    /// Serves one request, or injects the next fault. The response is unchecked, as on the wire.
    ///
    /// # Errors
    ///
    /// [`Failure`] as a transport would see it.
    pub async fn serve(&self, attempt: Attempt) -> Result<Reply, Failure> {
        let fault = self.next_fault()?;
        match fault {
            Some(Fault::Refuse) => return Err(not_sent("refused")),
            Some(Fault::CloseBefore) => return Err(broken("closed before the last byte")),
            Some(Fault::Shed) => return Err(Failure::Shed { retry_after: None }),
            _ => {}
        }
        let slot = self.wait_for_slot().await?;
        self.record(&attempt);
        self.clock.sleep(self.service_time()).await;
        match fault {
            Some(Fault::CloseAfter) => return Err(broken("closed after the last byte")),
            Some(Fault::RunThenShed) => return Err(Failure::Shed { retry_after: None }),
            Some(Fault::Late(span)) => self.clock.sleep(span).await,
            Some(Fault::Change) => self.state().revision += 1,
            _ => {}
        }
        Ok(self.respond(&attempt, fault, slot))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    fn service_time(&self) -> Millis {
        self.performance.lock().expect("no panic while locked").service_time
    }

    fn next_fault(&self) -> Result<Option<Fault>, Failure> {
        let mut state = self.state();
        if state.down {
            return Err(not_sent("down"));
        }
        Ok(state.faults.pop_front())
    }

    async fn wait_for_slot(&self) -> Result<Slot, Failure> {
        let queue = self.performance.lock().expect("no panic while locked").queue;
        let waiting = Waiting::enter(&self.waiting);
        if waiting.ahead >= queue && self.slots.available_permits() == 0 {
            return Err(Failure::Shed { retry_after: None });
        }
        let slots = Arc::clone(&self.slots);
        let permit = slots.acquire_owned().await.map_err(|_| not_sent("closed"))?;
        let running = Arc::clone(&self.state().running);
        running.fetch_add(1, Ordering::Relaxed);
        Ok(Slot { running, _permit: permit })
    }

    fn record(&self, attempt: &Attempt) {
        let run = Run {
            upstream: Arc::clone(&self.name),
            at: self.clock.now(),
            method: attempt.method.clone(),
            path: Arc::clone(&attempt.path),
            request: text(&attempt.headers, header::REQUEST_ID),
            order: text(&attempt.headers, header::ORDER_ID),
        };
        self.state().runs.push(run);
    }

    fn respond(&self, attempt: &Attempt, fault: Option<Fault>, slot: Slot) -> Reply {
        let (revision, leaving) = {
            let state = self.state();
            (state.revision, state.leaving)
        };
        let content = match fault {
            Some(Fault::Mixed) => entity(&format!("{}/other", attempt.path), revision),
            _ => entity(&attempt.path, revision),
        };
        let tag = entity_tag(&attempt.path, revision);
        let from = resumed_from(&attempt.headers, &tag, content.len());
        let part = content.slice(from.unwrap_or(0)..);
        let mut headers = head(&tag, from, content.len(), leaving);
        echo_id(&mut headers, &attempt.headers, fault);
        let status = if from.is_some() { StatusCode::PARTIAL_CONTENT } else { StatusCode::OK };
        let performance = *self.performance.lock().expect("no panic while locked");
        let body = stream_body(truncate(part, fault), fault, self.clock, performance, slot);
        Reply { status, headers, body }
    }
}

struct Waiting<'a> {
    count: &'a AtomicU32,
    ahead: u32,
}

impl Waiting<'_> {
    fn enter(count: &AtomicU32) -> Waiting<'_> {
        Waiting { count, ahead: count.fetch_add(1, Ordering::Relaxed) }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

fn head(tag: &str, from: Option<usize>, size: usize, leaving: bool) -> HeaderMap {
    let mut headers = HeaderMap::new();
    let mut set = |name: &'static str, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    };
    set(ETAG.as_str(), tag.into());
    set(ACCEPT_RANGES.as_str(), "bytes".into());
    set(CONTENT_LENGTH.as_str(), (size - from.unwrap_or(0)).to_string());
    if let Some(from) = from {
        set(CONTENT_RANGE.as_str(), format!("bytes {from}-{}/{size}", size - 1));
    }
    if leaving {
        set(header::LEAVING, "true".into());
    }
    headers
}

fn echo_id(headers: &mut HeaderMap, sent: &HeaderMap, fault: Option<Fault>) {
    let other = HeaderValue::from_static("another-request");
    let echoed = match fault {
        Some(Fault::Mixed) => Some(other),
        _ => sent.get(header::REQUEST_ID).cloned(),
    };
    if let Some(id) = echoed {
        headers.insert(header::REQUEST_ID, id);
    }
}

fn resumed_from(headers: &HeaderMap, tag: &str, size: usize) -> Option<usize> {
    let range = text(headers, RANGE.as_str());
    let from: usize = range.strip_prefix("bytes=")?.strip_suffix('-')?.parse().ok()?;
    let condition = text(headers, IF_RANGE.as_str());
    let unchanged = condition.is_empty() || condition == tag;
    (unchanged && from < size).then_some(from)
}

fn truncate(part: Bytes, fault: Option<Fault>) -> Bytes {
    match fault {
        Some(Fault::DieHalfway) => part.slice(..part.len() / 2),
        Some(Fault::Short) => part.slice(..part.len().saturating_sub(1)),
        Some(Fault::Long) => [part, Bytes::from_static(b"HTTP/1.1 200 OK")].concat().into(),
        _ => part,
    }
}

fn stream_body(
    rest: Bytes,
    fault: Option<Fault>,
    clock: Clock,
    performance: Performance,
    slot: Slot,
) -> Body {
    let ending = (fault == Some(Fault::DieHalfway)).then(|| broken("died halfway"));
    let start = (rest, ending, slot);
    Box::pin(stream::unfold(start, move |(mut rest, mut ending, slot)| async move {
        if rest.is_empty() {
            let failure = ending.take()?;
            return Some((Err(failure), (rest, ending, slot)));
        }
        clock.sleep(performance.chunk_interval).await;
        let chunk = rest.split_to(rest.len().min(performance.chunk_bytes));
        Some((Ok(chunk), (rest, ending, slot)))
    }))
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().into()
}

fn not_sent(context: &str) -> Failure {
    Failure::NotSent { context: context.into() }
}

fn broken(context: &str) -> Failure {
    Failure::Broken { context: context.into() }
}
