//! One attempt of a request at one upstream.

mod request;

use crate::accounts;
use crate::connection::{Connection, idle_timeout};
use crate::connector::{keep, open};
use crate::core::Core;
use crate::delivery::Delivery;
use crate::endpoint::{Endpoint, InFlight};
use crate::identity;
use crate::memory::Hold;
use crate::outcome::{Cause, Outcome};
use crate::receiving;
use crate::reporting;
use crate::upload::Content;
use bytes::{Bytes, BytesMut};
use clock::Millis;
use http1::{Error, Reader, Request, Response};
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use steering::account::Account;
use steering::routing::{AllowedRegions, Service, Table};
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::watch;

pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Responses to earlier requests that are skipped on one connection.
const MAX_STRAY_RESPONSES: usize = 3;
/// Bytes of a response's body that are discarded to go on with its connection.
pub const MAX_SKIPPED_BYTES: u64 = 256 * 1024;
/// Time for these bytes. A response to an earlier request is complete, or nearly so, when the next
/// one is read.
pub const SKIP_TIMEOUT: Millis = Millis(250);
/// Time to wait for the response beyond the deadline: an upstream that rejects the request at the
/// deadline states whether it was executed.
pub const DEADLINE_MARGIN: Millis = Millis(40);
/// A request that is sent this long after it was read may have lost its caller meanwhile, which the
/// reader of the caller's connection must get a chance to notice.
const RECHECK_AFTER: Millis = Millis(20);
/// Connections that are opened for one attempt to learn which upstream is at the address.
const MAX_CHECKS: usize = 2;

/// A caller's complete request. It has no `Debug` output, as its head may contain a key.
pub struct Job {
    /// Method, target and header fields.
    pub head: Request,
    /// The complete body.
    pub body: Content,
    /// The id of the caller's attempt.
    pub id: Bytes,
    /// When it was read.
    pub arrived: Millis,
    /// When the caller must have the response.
    pub deadline: Millis,
    /// Whether the caller has disconnected.
    pub disconnected: watch::Receiver<bool>,
    /// The routes that were in force when the request was read.
    pub table: Rc<Table>,
    /// The regions that they allow.
    pub allowed: AllowedRegions,
    /// The client account that sent it, if any.
    pub account: Option<Arc<Account>>,
    /// Its account's priority or, without one, that of its route; 0 is the most urgent.
    pub priority: u32,
}

impl Job {
    /// Whether the caller has disconnected, so that the request must not be sent any more, nor sent
    /// again.
    pub fn is_abandoned(&self) -> bool {
        *self.disconnected.borrow()
    }

    /// The regions that may get the request now: the configuration in force must allow them too.
    pub fn allowed_regions(&self, core: &Core) -> AllowedRegions {
        let mut allowed = self.allowed.clone();
        let table = core.table();
        if Rc::ptr_eq(&table, &self.table) {
            return allowed;
        }
        let host = self.head.headers.text("host").unwrap_or_default();
        table.restrict(&mut allowed, host, self.head.path());
        if let Ok(Some(account)) = accounts::current(core, self) {
            allowed.restrict_account(&account);
        }
        allowed
    }
}

/// Sends `job` to `endpoint`, an upstream of `service`, and waits for the response.
pub async fn run(
    core: &Rc<Core>,
    job: &Job,
    service: &Service,
    endpoint: &Rc<Endpoint>,
) -> Outcome {
    let in_flight = endpoint.begin_request(job.body.len() as u64);
    let connection = match connect(core, job, service, endpoint).await {
        Ok(connection) => connection,
        Err(cause) => return Outcome::Failed(cause),
    };
    if core.clock.now() - job.arrived >= RECHECK_AFTER {
        // Lets what has arrived on other connections be read first.
        tokio::task::yield_now().await;
    }
    let now = core.clock.now();
    if now >= job.deadline {
        keep(core, endpoint, connection, None);
        return Outcome::Failed(Cause::Deadline);
    }
    if job.is_abandoned() {
        keep(core, endpoint, connection, None);
        return Outcome::Failed(Cause::CallerLeft);
    }
    let statement = &endpoint.statement;
    let is_refusing = statement.is_leaving() || statement.is_paused(now);
    if is_refusing || !core.upstreams.borrow().contains(endpoint) {
        keep(core, endpoint, connection, None);
        return Outcome::Failed(Cause::UpstreamLeft);
    }
    if !job.allowed_regions(core).allows(endpoint.region.as_deref()) {
        keep(core, endpoint, connection, None);
        return Outcome::Failed(Cause::OutsideRegions);
    }
    let Ok(account) = accounts::current(core, job) else {
        keep(core, endpoint, connection, None);
        return Outcome::Failed(Cause::KeyWithdrawn);
    };
    let bytes = request::encode(core, job, account.as_deref(), endpoint);
    let remaining = job.deadline - now + DEADLINE_MARGIN;
    match tokio::time::timeout(
        remaining.duration(),
        exchange(core, job, endpoint, bytes, connection, in_flight),
    )
    .await
    {
        Ok(outcome) => outcome,
        Err(_) => Outcome::TimedOut,
    }
}

/// Takes or opens a connection for `job`. If its regions are restricted, it must not reach another
/// upstream that has the address now, even though that one would not execute it.
async fn connect(
    core: &Core,
    job: &Job,
    service: &Service,
    endpoint: &Endpoint,
) -> Result<Connection, Cause> {
    // An upstream that closes the connection after its check is known on the next one.
    for _ in 0..MAX_CHECKS {
        let connection = open(core, endpoint, &job.id, job.deadline).await;
        let mut connection = connection.ok_or(Cause::Connect)?;
        if connection.identified
            || !job.allowed_regions(core).is_restricted()
            || identity::check(core, job, service, endpoint, &mut connection).await?
        {
            return Ok(connection);
        }
    }
    Err(Cause::Unidentified)
}

async fn exchange(
    core: &Rc<Core>,
    job: &Job,
    endpoint: &Rc<Endpoint>,
    start: BytesMut,
    connection: Connection,
    in_flight: InFlight,
) -> Outcome {
    let Connection { mut reader, mut writer, mut ids, mut identified } = connection;
    let sent_at = core.clock.now();
    let origin = ids.origin();
    ids.record(&job.id);
    let mut sent = false;
    let response = {
        let write = request::write(&mut writer, &start, job);
        let read = read_response(core, job, &mut reader);
        tokio::pin!(write, read);
        // An upstream may respond before it has read the whole request.
        loop {
            tokio::select! {
                biased;
                response = &mut read => break response,
                written = &mut write, if !sent => match written {
                    Ok(()) => sent = true,
                    Err(_) => break read.await,
                },
            }
        }
    };
    let (response, reading) = match response {
        Ok(response) => response,
        Err(Error::Closed) => return Outcome::Failed(Cause::Closed),
        Err(Error::Broken { source }) if source.kind() == io::ErrorKind::TimedOut => {
            return Outcome::Failed(Cause::Silent);
        }
        Err(Error::Broken { .. }) => return Outcome::Failed(Cause::Reset),
        Err(Error::Truncated) => return Outcome::Failed(Cause::HeadTruncated),
        Err(_) => return Outcome::Failed(Cause::Malformed),
    };
    let names = core.protocol.names();
    record_load(core, endpoint, &response);
    if response.status == 421 {
        let request = std::str::from_utf8(&job.id).unwrap_or_default();
        reporting::upstream_replaced(request, endpoint, origin);
    }
    record_statement(core, endpoint, &response);
    let is_not_executed = response.status == 421 || response.headers.get(names.not_run).is_some();
    // Only the upstream that the request names executes it. The response may have been on its way
    // for long, so that the time counts from the request.
    if !is_not_executed {
        identified = true;
        endpoint.record_identity(sent_at + core.settings().bounds.address_reuse);
    }
    let connection = sent.then_some(Connection { reader, writer, ids, identified });
    if is_not_executed {
        return not_executed(core, endpoint, &response, connection, reading);
    }
    let delivery = Delivery { core, job, endpoint, in_flight };
    delivery.deliver(response, connection, reading).await
}

/// Records the load in the response.
pub fn record_load(core: &Core, endpoint: &Endpoint, response: &Response) {
    let text = response.headers.text(core.protocol.names().load);
    if let Some(load) = text.and_then(|text| core.protocol.parse_load(text)) {
        endpoint.record_load(load, core.clock.now());
    }
}

/// Records what the upstream states about itself. Status 421 comes from another upstream, which has
/// the address now.
pub fn record_statement(core: &Core, endpoint: &Endpoint, response: &Response) {
    if response.status == 421 {
        return;
    }
    let names = core.protocol.names();
    let (statement, upstream) = (&endpoint.statement, endpoint.entry.id.as_ref());
    let leaving = response.headers.text(names.leaving);
    if leaving.is_some_and(|text| core.protocol.parse_leaving(text)) && statement.record_leaving() {
        log::info!(
            target: "belief", upstream = upstream;
            "upstream states that it leaves; sending no more requests to it"
        );
    }
    let pause = response.headers.text(names.retry_after).filter(|_| response.status == 503);
    let Some(pause) = pause.and_then(|text| core.protocol.parse_pause(text)) else {
        return;
    };
    if pause > Millis::ZERO && statement.record_pause(pause, core.clock.now()) {
        log::info!(
            target: "belief", upstream = upstream, pause_ms = pause.0;
            "upstream wants no requests for a time; using others"
        );
    }
}

/// Reads the response to `job`, skipping responses to earlier requests on the connection. Upstreams
/// repeat the id of the request, so that bytes without it are no response to any. The hold counts what
/// the reader may have and the head.
async fn read_response(
    core: &Core,
    job: &Job,
    reader: &mut Reader<OwnedReadHalf>,
) -> Result<(Response, Hold), Error> {
    let name = core.protocol.names().request_id;
    let mut reading = receiving::begin(core, job.body.hold(), reader).await?;
    for _ in 0..MAX_STRAY_RESPONSES {
        let response = reader.response(&job.head.method, MAX_HEAD_BYTES).await?;
        let id = response.headers.get(name);
        if id.map_or(job.id.is_empty(), |id| id == &job.id) {
            receiving::keep_reader_and_head(&mut reading, &response.headers);
            return Ok((response, reading));
        }
        if id.is_none() {
            return Err(Error::Malformed { reason: "no request id" });
        }
        metrics::counter!(telemetry::names::STRAY_RESPONSES).increment(1);
        let skipping = reader.skip(MAX_SKIPPED_BYTES);
        tokio::time::timeout(SKIP_TIMEOUT.duration(), skipping)
            .await
            .unwrap_or(Err(Error::Malformed { reason: "a response to another request goes on" }))?;
        if !response.keep_alive {
            return Err(Error::Closed);
        }
    }
    Err(Error::Malformed { reason: "only responses to other requests" })
}

/// Handles a response that states that the request was not executed. Its body says nothing more,
/// and a retry must not wait for it.
fn not_executed(
    core: &Rc<Core>,
    endpoint: &Rc<Endpoint>,
    response: &Response,
    connection: Option<Connection>,
    reading: Hold,
) -> Outcome {
    if let Some(mut connection) = connection
        && response.keep_alive
    {
        let (core, endpoint) = (Rc::clone(core), Rc::clone(endpoint));
        let idle_timeout = idle_timeout(&response.headers);
        tokio::task::spawn_local(async move {
            let skipping = connection.reader.skip(MAX_SKIPPED_BYTES);
            if matches!(tokio::time::timeout(SKIP_TIMEOUT.duration(), skipping).await, Ok(Ok(()))) {
                keep(&core, &endpoint, connection, idle_timeout);
            }
            drop(reading);
        });
    }
    match response.status {
        421 => Outcome::Failed(Cause::Misdirected),
        _ => Outcome::Failed(Cause::Shed),
    }
}
