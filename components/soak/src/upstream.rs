//! An upstream that records the requests that it executes.

use crate::checker::Checker;
use crate::ledger::Received;
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

/// Time after which an upstream that is leaving must get no more requests.
pub const DRAIN_BOUND: Millis = Millis(2_000);
/// Time after which an evacuated failure domain must get no more requests.
pub const EVACUATION_BOUND: Millis = Millis(5_000);
const MAX_HEAD_BYTES: usize = 32 * 1024;
const MAX_BODY_BYTES: u64 = 1024 * 1024;

/// An upstream; its tasks run on the current `LocalSet`.
#[derive(Debug)]
pub struct Upstream {
    checker: Rc<Checker>,
    /// The id in the store, which changes with each registration.
    pub id: RefCell<String>,
    /// When the store acknowledged that the upstream is leaving.
    pub leaving_since: Cell<Option<Millis>>,
    /// When the store acknowledged the evacuation of the failure domain.
    pub evacuated_since: Cell<Option<Millis>>,
    /// Whether to execute requests and close the connection instead of responding.
    pub drops_responses: Cell<bool>,
}

impl Upstream {
    /// Starts serving at `address`.
    pub fn open(id: &str, address: SocketAddr, checker: Rc<Checker>) -> io::Result<Rc<Upstream>> {
        let listener = http1::net::listen(address)?;
        let upstream = Rc::new(Upstream {
            checker,
            id: RefCell::new(id.to_owned()),
            leaving_since: Cell::default(),
            evacuated_since: Cell::default(),
            drops_responses: Cell::default(),
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
        while let Ok(head) = reader.request(MAX_HEAD_BYTES).await {
            if reader.body(MAX_BODY_BYTES).await.is_err() || !self.handle(&mut reader, &head).await
            {
                return;
            }
        }
    }

    /// Handles a request; `false` means that the connection must be closed.
    async fn handle(&self, reader: &mut Reader<TcpStream>, head: &Request) -> bool {
        let names = platform::Protocol.names();
        let id = head.headers.text(names.request_id).unwrap_or_default().to_owned();
        let target = head.headers.text(names.target).unwrap_or_default();
        if target != *self.id.borrow() {
            return respond(reader, 421, &[(names.request_id, &id)], "").await;
        }
        if rand::random_ratio(1, 40) {
            let fields = [(names.request_id, id.as_str()), (names.not_run, "full")];
            return respond(reader, 503, &fields, "").await;
        }
        self.check_bounds(&id);
        let is_order = head.path().starts_with("/order/");
        let texts = head.headers.all(names.account).map(|value| String::from_utf8_lossy(value));
        let received = Received {
            accounts: texts.map(|text| text.into_owned()).collect(),
            has_key: head.headers.get(names.key).is_some(),
        };
        self.checker.record_execution(&id, is_order, &received);
        let span = Millis(rand::rng().random_range(5..120));
        tokio::select! {
            () = tokio::time::sleep(span.duration()) => {}
            // A read is abandoned when the connection closes; an order is executed to its end.
            _ = reader.wait(), if !is_order => return false,
        }
        if self.drops_responses.get() {
            return false;
        }
        let body = format!("{id} {}", head.path());
        let fields =
            [(names.request_id, id.as_str()), (names.signature, &id), (names.load, "1,0,8,100")];
        respond(reader, 200, &fields, &body).await
    }

    fn check_bounds(&self, id: &str) {
        for (since, bound, event) in [
            (self.leaving_since.get(), DRAIN_BOUND, "was marked as leaving"),
            (self.evacuated_since.get(), EVACUATION_BOUND, "was evacuated"),
        ] {
            if let Some(since) = since
                && self.checker.is_exceeded(since, bound)
            {
                let late_ms = (self.checker.now() - since).0;
                self.checker.report_violation(format!(
                    "upstream {} got request {id} {late_ms} ms after it {event}",
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
    let framing = [("Content-Length", length.as_str()), ("Keep-Alive", "timeout=10")];
    let fields =
        fields.iter().chain(&framing).map(|(name, value)| (name.as_bytes(), value.as_bytes()));
    let mut bytes = BytesMut::new();
    encode::response(&mut bytes, status, fields);
    bytes.extend_from_slice(body.as_bytes());
    reader.stream_mut().write_all(&bytes).await.is_ok()
}
