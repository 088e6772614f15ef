//! Opens connections to upstreams, or takes idle ones from their pools.

use crate::connection::Connection;
use crate::core::Core;
use crate::endpoint::Endpoint;
use crate::pool::Pool;
use clock::Millis;
use http1::net::{self, Timeouts};
use std::rc::Rc;

/// Time to open a connection in addition to the network latency; an upstream that takes longer is
/// treated as unreachable.
const CONNECT_TIMEOUT: Millis = Millis(300);
/// TCP user timeout: a connection on which the upstream does not acknowledge a request for this time
/// is broken. There is no keepalive, as the kernel would give up requests that a cut link delivers
/// later; docs/DATAPATH.md, "Requests that are given up".
const SILENCE_TIMEOUT: Millis = Millis(3_000);

/// How often idle connections are checked. Until then, what an upstream sends on one fills its
/// receive buffer.
const IDLE_CHECK_INTERVAL: Millis = Millis(500);

/// Takes an idle connection to `endpoint` for a request with the id `id`, or opens one; `None` if
/// that fails, is not complete by `deadline`, or the upstream has sent bytes already.
pub async fn open(
    core: &Core,
    endpoint: &Endpoint,
    id: &[u8],
    deadline: Millis,
) -> Option<Connection> {
    let started = core.clock.now();
    loop {
        let idle = endpoint.pool.borrow_mut().take(id, started);
        let Some(mut connection) = idle else {
            break;
        };
        if connection.reader.is_reusable().await {
            return Some(connection);
        }
    }
    let latency = core
        .upstreams
        .borrow()
        .network_latency(&core.settings().region, endpoint.region.as_deref());
    let connect = (CONNECT_TIMEOUT + latency).min(deadline - started);
    let timeouts = Timeouts { connect, silence: SILENCE_TIMEOUT };
    let stream = net::connect(endpoint.entry.address, timeouts).await;
    metrics::counter!(telemetry::names::CONNECTIONS).increment(1);
    let stream = stream
        .and_then(|stream| net::reset_on_close(&stream).map(|()| stream))
        .inspect_err(|error| {
            log::debug!(
                target: "attempt", cause:% = error;
                "can't connect to the upstream; the attempt failed"
            )
        })
        .ok()?;
    if let Some(region) = &endpoint.region {
        core.upstreams.borrow_mut().record_connect(region, core.clock.now() - started);
    }
    let mut connection = Connection::new(stream, endpoint.is_identified(core.clock.now()));
    if !connection.reader.is_reusable().await {
        log::debug!(
            target: "attempt", upstream = endpoint.entry.id.as_ref();
            "upstream closed or sent bytes before the request; closing the connection"
        );
        return None;
    }
    Some(connection)
}

/// Closes idle connections that can't be used again, until the process ends.
pub async fn close_unusable(core: Rc<Core>) {
    loop {
        core.clock.sleep(IDLE_CHECK_INTERVAL).await;
        let endpoints = core.upstreams.borrow().with_idle_connections();
        for endpoint in endpoints {
            Pool::close_unusable(&endpoint.pool, core.clock.now()).await;
        }
    }
}

/// Returns a connection to the pool for the next request.
pub fn keep(
    core: &Core,
    endpoint: &Endpoint,
    connection: Connection,
    idle_timeout: Option<Millis>,
) {
    endpoint.pool.borrow_mut().keep(connection, idle_timeout, core.clock.now());
}
