//! Connections to upstreams. They are pooled, and abandoned ones are reset.

use crate::core::Core;
use crate::endpoint::Endpoint;
use crate::pool::Pool;
use clock::Millis;
use http1::net::Timeouts;
use http1::{Headers, Reader, net};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use xxhash_rust::xxh3::xxh3_64;

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

/// Latest requests on a connection that are remembered. An upstream that sends a response once more
/// does so soon after the first time.
const REMEMBERED_REQUESTS: usize = 64;

/// A connection to an upstream.
#[derive(Debug)]
pub struct Connection {
    /// Reads responses.
    pub reader: Reader<OwnedReadHalf>,
    /// Writes requests.
    pub writer: Writer,
    /// The ids of the latest requests that were sent.
    pub ids: Ids,
    /// Whether the other end is certainly the upstream rather than another one at its address.
    pub identified: bool,
}

/// The ids of the latest requests that were sent on a connection. An upstream may send a response
/// once more, and only the id tells that it belongs to an earlier request; so no id is sent twice.
#[derive(Debug, Default)]
pub struct Ids(VecDeque<u64>);

impl Ids {
    /// Whether the response to a request with the id `id` can be told from those to earlier ones.
    pub fn allows(&self, id: &[u8]) -> bool {
        self.0.is_empty() || (!id.is_empty() && !self.0.contains(&xxh3_64(id)))
    }

    /// Whether no request was sent.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The value of the log key `connection`: whether a request was sent before.
    pub fn origin(&self) -> &'static str {
        if self.is_empty() { "new" } else { "kept" }
    }

    /// Records a request with the id `id`.
    pub fn record(&mut self, id: &[u8]) {
        if self.0.len() == REMEMBERED_REQUESTS {
            self.0.pop_front();
        }
        self.0.push_back(xxh3_64(id));
    }
}

/// The writing half. Dropping it does not shut it down: a shutdown would still deliver the bytes in
/// flight, whereas closing the whole connection resets it and discards them.
#[derive(Debug)]
pub struct Writer(Option<OwnedWriteHalf>);

impl Writer {
    /// Sends all of `bytes`.
    ///
    /// # Errors
    ///
    /// Those of the socket.
    pub async fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        match &mut self.0 {
            Some(half) => half.write_all(bytes).await,
            None => Err(io::ErrorKind::NotConnected.into()),
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        if let Some(half) = self.0.take() {
            half.forget();
        }
    }
}

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
    let (read, writer) = stream.into_split();
    let mut reader = Reader::new(read);
    if !reader.is_reusable().await {
        log::debug!(
            target: "attempt", upstream = endpoint.entry.id.as_ref();
            "upstream closed or sent bytes before the request; closing the connection"
        );
        return None;
    }
    let identified = endpoint.is_identified(core.clock.now());
    Some(Connection { reader, writer: Writer(Some(writer)), ids: Ids::default(), identified })
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

/// The idle timeout in the `Keep-Alive` header, which gives it in whole seconds.
pub fn idle_timeout(headers: &Headers) -> Option<Millis> {
    let parameters = headers.text("keep-alive")?.split(',');
    let timeout = parameters.filter_map(|each| each.trim().strip_prefix("timeout=")).next()?;
    timeout.trim().parse().ok().map(Millis::from_secs)
}
