//! Connections to upstreams: opened, reused, and reset when they are given up.

use crate::core::Core;
use crate::server::Server;
use clock::Millis;
use http1::net::Patience;
use http1::{Headers, Reader, net};
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Time to open a connection beside the round trip; longer means that the upstream is gone.
const CONNECT: Millis = Millis(300);
/// Time without a sign of life after which a connection counts as broken.
const SILENCE: Millis = Millis(3_000);
/// A connection to an upstream, both directions.
#[derive(Debug)]
pub struct Link {
    /// Reads answers.
    pub reader: Reader<OwnedReadHalf>,
    /// Sends requests.
    pub writer: Writer,
}

/// The sending half, which leaves it to the close of the whole connection to end it; ending this
/// half alone would still deliver what is on its way.
#[derive(Debug)]
pub struct Writer(Option<OwnedWriteHalf>);

impl Writer {
    /// Sends all of `bytes`.
    ///
    /// # Errors
    ///
    /// The system's.
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

/// A kept connection to `server`, or a new one; none if it can't be opened before `deadline`.
pub async fn open(core: &Core, server: &Server, deadline: Millis) -> Option<Link> {
    let started = core.clock.now();
    loop {
        let kept = server.pool.borrow_mut().take(started);
        let Some(mut link) = kept else {
            break;
        };
        if link.reader.is_quiet().await {
            return Some(link);
        }
    }
    let distance = core.fleet.borrow().distance(&core.settings().region, &server.region);
    let connect = (CONNECT + distance).min(deadline - started);
    let patience = Patience { connect, silence: SILENCE };
    let stream = net::connect(server.entry.address, patience).await;
    metrics::counter!(telemetry::names::CONNECTIONS).increment(1);
    let stream = stream
        .and_then(|stream| net::reset_on_close(&stream).map(|()| stream))
        .inspect_err(|error| log::debug!(target: "attempt", cause:% = error; "connect failed"))
        .ok()?;
    core.fleet.borrow_mut().opened(&server.region, core.clock.now() - started);
    let (read, writer) = stream.into_split();
    Some(Link { reader: Reader::new(read), writer: Writer(Some(writer)) })
}

/// Keeps a connection for the next request.
pub fn keep(core: &Core, server: &Server, link: Link, idle_timeout: Option<Millis>) {
    server.pool.borrow_mut().keep(link, idle_timeout, core.clock.now());
}

/// The idle timeout that `Keep-Alive` gives, in whole seconds.
pub fn idle_timeout(headers: &Headers) -> Option<Millis> {
    let parameters = headers.text("keep-alive")?.split(',');
    let timeout = parameters.filter_map(|each| each.trim().strip_prefix("timeout=")).next()?;
    timeout.trim().parse().ok().map(Millis::from_secs)
}
