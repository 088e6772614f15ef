//! Checks which upstream is at the other end of a connection.
//!
//! The address of an upstream that ended may belong to another one, in another region, before this
//! VM learns of it. See docs/DATAPATH.md, "Addresses that are used again".

use crate::attempt::{self, Job, MAX_HEAD_BYTES, MAX_SKIPPED_BYTES, SKIP_TIMEOUT};
use crate::connection::Connection;
use crate::core::Core;
use crate::endpoint::Endpoint;
use crate::health;
use crate::memory::Hold;
use crate::outcome::Cause;
use crate::receiving;
use crate::reporting;
use bytes::BytesMut;
use clock::Millis;
use http1::{Response, encode};
use steering::routing::Service;

/// The part of the time left that a check may take, so that another upstream can be used.
const TIME_DIVISOR: u64 = 2;
/// The longest time for a check, beyond the network latency: upstreams respond to health checks at
/// once, or after the requests in their queue.
const TIMEOUT: Millis = Millis(500);

/// Requests the id of the upstream at the other end of `connection`; returns whether a request may
/// be sent on the connection afterwards.
///
/// # Errors
///
/// [`Cause::Replaced`] if it is another one than that of `endpoint`, [`Cause::Unidentified`] if the
/// response names none or there is no time to wait for it, and [`Cause::CheckTimeout`] if there is
/// no response.
pub async fn check(
    core: &Core,
    job: &Job,
    service: &Service,
    endpoint: &Endpoint,
    connection: &mut Connection,
) -> Result<bool, Cause> {
    let sent = core.clock.now();
    let is_new = connection.ids.is_empty();
    let latency = core
        .upstreams
        .borrow()
        .network_latency(&core.settings().region, endpoint.region.as_deref());
    let (available, longest) = (Millis((job.deadline - sent).0 / TIME_DIVISOR), TIMEOUT + latency);
    let request = ask(core, job.body.hold(), &service.health_path, endpoint, connection);
    let (response, _reading) =
        match tokio::time::timeout(available.min(longest).duration(), request).await {
            Ok(Some(response)) => response,
            // The upstream may have closed a connection that was idle.
            Ok(None) if !is_new => return Ok(false),
            Err(_) if available < longest => return Err(Cause::Unidentified),
            Ok(None) | Err(_) => return Err(Cause::CheckTimeout),
        };
    let names = core.protocol.names();
    let id = response.headers.text(names.instance);
    if id.is_some_and(|id| *id != *endpoint.entry.id) {
        let request = std::str::from_utf8(&job.id).unwrap_or_default();
        reporting::upstream_replaced(request, endpoint, connection.ids.origin());
        return Err(Cause::Replaced);
    }
    if id.is_none() {
        return Err(Cause::Unidentified);
    }
    endpoint.record_identity(sent + core.settings().bounds.address_reuse);
    attempt::record_load(core, endpoint, &response);
    attempt::record_statement(core, endpoint, &response);
    health::record(core, endpoint, &response);
    connection.identified = true;
    Ok(finish(&response, connection).await)
}

/// Reads the rest of a response to a health check; returns whether the connection can be used again.
pub async fn finish(response: &Response, connection: &mut Connection) -> bool {
    let is_reusable = response.keep_alive && {
        let skipping = connection.reader.skip(MAX_SKIPPED_BYTES);
        matches!(tokio::time::timeout(SKIP_TIMEOUT.duration(), skipping).await, Ok(Ok(())))
    };
    is_reusable && connection.reader.is_reusable().await
}

/// Sends a health check and reads the head of the response; `None` if the connection ends. The hold of
/// the response counts what the connection's reader may have.
pub async fn ask(
    core: &Core,
    hold: &Hold,
    health_path: &str,
    endpoint: &Endpoint,
    connection: &mut Connection,
) -> Option<(Response, Hold)> {
    let host = endpoint.entry.address.to_string();
    let fields = [(b"Host".as_slice(), host.as_bytes())];
    let mut bytes = BytesMut::new();
    encode::request(&mut bytes, b"GET", health_path.as_bytes(), fields.into_iter());
    connection.writer.write_all(&bytes).await.ok()?;
    let reading = receiving::begin(core, hold, &connection.reader).await.ok()?;
    let response = connection.reader.response(b"GET", MAX_HEAD_BYTES).await.ok()?;
    Some((response, reading))
}
