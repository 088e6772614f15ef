//! An upstream that records what it runs.

use crate::ledger::Ledger;
use bytes::BytesMut;
use clock::Millis;
use gateway::Protocol as _;
use http1::{Reader, Request, encode};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Time in which a leaving upstream gets its last request.
pub const DRAIN: Millis = Millis(2_000);
/// Time in which an evacuated failure domain gets its last request.
pub const EVACUATE: Millis = Millis(5_000);
const HEAD_BYTES: usize = 32 * 1024;
const BODY_BYTES: u64 = 1024 * 1024;

/// The upstream.
#[derive(Debug)]
pub struct Upstream {
    ledger: Rc<Ledger>,
    /// Its id, which changes with each start.
    pub id: RefCell<String>,
    /// When the store acknowledged that it leaves.
    pub left: Cell<Option<Millis>>,
    /// When the store acknowledged that its failure domain is evacuated.
    pub evacuated: Cell<Option<Millis>>,
    /// Whether it runs requests and loses the answers.
    pub loses: Cell<bool>,
}

impl Upstream {
    /// Serves at `address`.
    pub fn open(id: &str, address: SocketAddr, ledger: Rc<Ledger>) -> io::Result<Rc<Upstream>> {
        let listener = http1::net::listen(address)?;
        let upstream = Rc::new(Upstream {
            ledger,
            id: RefCell::new(id.to_owned()),
            left: Cell::default(),
            evacuated: Cell::default(),
            loses: Cell::default(),
        });
        let shared = Rc::clone(&upstream);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(Rc::clone(&shared).serve(stream));
            }
        });
        Ok(upstream)
    }

    async fn serve(self: Rc<Upstream>, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(head) = reader.request(HEAD_BYTES).await {
            if reader.body(BODY_BYTES).await.is_err() || !self.handle(&mut reader, &head).await {
                return;
            }
        }
    }

    /// Handles a request; false ends the connection.
    async fn handle(&self, reader: &mut Reader<TcpStream>, head: &Request) -> bool {
        let names = platform::Protocol.names();
        let id = head.headers.text(names.request_id).unwrap_or_default().to_owned();
        let meant = head.headers.text(names.target).unwrap_or_default();
        if meant != *self.id.borrow() {
            return respond(reader, 421, &[], "").await;
        }
        if rand::random_ratio(1, 40) {
            return respond(reader, 503, &[(names.not_run, "full")], "").await;
        }
        self.check_bounds(&id);
        let is_order = head.path().starts_with("/order/");
        self.ledger.runs(&id, is_order);
        let span = Millis(rand::rng().random_range(5..120));
        tokio::select! {
            () = tokio::time::sleep(span.duration()) => {}
            // An order runs to its end, whoever still listens.
            _ = reader.wait(), if !is_order => return false,
        }
        if self.loses.get() {
            return false;
        }
        let body = format!("{id} {}", head.path());
        let fields =
            [(names.request_id, id.as_str()), (names.signature, &id), (names.load, "1,0,8,100")];
        respond(reader, 200, &fields, &body).await
    }

    fn check_bounds(&self, id: &str) {
        for (since, bound, what) in
            [(self.left.get(), DRAIN, "left"), (self.evacuated.get(), EVACUATE, "was evacuated")]
        {
            if let Some(since) = since
                && self.ledger.is_over(since, bound)
            {
                let late = (self.ledger.now() - since).0;
                self.ledger.broken(format!(
                    "upstream {} got {id} {late} ms after it {what}",
                    self.id.borrow()
                ));
            }
        }
    }
}

async fn respond(
    reader: &mut Reader<TcpStream>,
    status: u16,
    fields: &[(&str, &str)],
    body: &str,
) -> bool {
    let length = body.len().to_string();
    let own = [("Content-Length", length.as_str()), ("Keep-Alive", "timeout=10")];
    let fields = fields.iter().chain(&own).map(|(name, value)| (name.as_bytes(), value.as_bytes()));
    let mut bytes = BytesMut::new();
    encode::response(&mut bytes, status, fields);
    bytes.extend_from_slice(body.as_bytes());
    reader.stream_mut().write_all(&bytes).await.is_ok()
}
