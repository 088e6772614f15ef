//! Connections to upstreams. Abandoned ones are reset.

use clock::Millis;
use http1::{Headers, Reader};
use std::collections::VecDeque;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use xxhash_rust::xxh3::xxh3_64;

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

impl Connection {
    /// A connection on which nothing was sent.
    pub fn new(stream: TcpStream, identified: bool) -> Connection {
        let (read, writer) = stream.into_split();
        let (reader, writer) = (Reader::new(read), Writer(Some(writer)));
        Connection { reader, writer, ids: Ids::default(), identified }
    }
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

/// The idle timeout in the `Keep-Alive` header, which gives it in whole seconds.
pub fn idle_timeout(headers: &Headers) -> Option<Millis> {
    let parameters = headers.text("keep-alive")?.split(',');
    let timeout = parameters.filter_map(|each| each.trim().strip_prefix("timeout=")).next()?;
    timeout.trim().parse().ok().map(Millis::from_secs)
}
