//! Checks which upstream is at the other end of a connection.
//!
//! The address of an upstream that ended may belong to another one, in another region, before this
//! VM learns of it. See docs/DATAPATH.md, "Addresses that are used again".

use crate::attempt::{self, Job, MAX_HEAD_BYTES, MAX_SKIPPED_BYTES};
use crate::connection::Connection;
use crate::core::Core;
use crate::endpoint::Endpoint;
use crate::outcome::Cause;
use crate::reporting;
use bytes::BytesMut;
use clock::Millis;
use http1::{Response, encode};
use steering::routing::Service;

/// The part of the time left that a check may take, so that another upstream can be used.
const TIME_DIVISOR: u64 = 2;

/// Requests the id of the upstream at the other end of `connection`; returns whether a request may
/// be sent on the connection afterwards.
///
/// # Errors
///
/// [`Cause::Replaced`] if it is another one than that of `endpoint`, and [`Cause::Unidentified`] if
/// it doesn't tell in time.
pub async fn check(
    core: &Core,
    job: &Job,
    service: &Service,
    endpoint: &Endpoint,
    connection: &mut Connection,
) -> Result<bool, Cause> {
    let sent = core.clock.now();
    let limit = Millis((job.deadline - sent).0 / TIME_DIVISOR);
    let exchange = exchange(service, endpoint, connection);
    let response = tokio::time::timeout(limit.duration(), exchange).await;
    let response = response.ok().flatten().ok_or(Cause::Unidentified)?;
    let names = core.protocol.names();
    let Some(id) = response.headers.text(names.instance) else {
        return Err(Cause::Unidentified);
    };
    if *id != *endpoint.entry.id {
        let request = std::str::from_utf8(&job.id).unwrap_or_default();
        reporting::upstream_replaced(request, endpoint, connection.ids.origin());
        return Err(Cause::Replaced);
    }
    endpoint.record_identity(sent + core.settings().bounds.address_reuse);
    attempt::record_load(core, endpoint, &response);
    attempt::record_statement(core, endpoint, &response);
    connection.identified = true;
    Ok(response.keep_alive && connection.reader.is_reusable().await)
}

/// Sends a health check and reads the response; `None` if there is none.
async fn exchange(
    service: &Service,
    endpoint: &Endpoint,
    connection: &mut Connection,
) -> Option<Response> {
    let host = endpoint.entry.address.to_string();
    let fields = [(b"Host".as_slice(), host.as_bytes())];
    let mut bytes = BytesMut::new();
    encode::request(&mut bytes, b"GET", service.health_path.as_bytes(), fields.into_iter());
    connection.writer.write_all(&bytes).await.ok()?;
    let response = connection.reader.response(b"GET", MAX_HEAD_BYTES).await.ok()?;
    if response.keep_alive {
        connection.reader.skip(MAX_SKIPPED_BYTES).await.ok()?;
    }
    Some(response)
}
