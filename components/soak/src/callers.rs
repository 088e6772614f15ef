//! Callers with kept connections, and probes of the configuration in force.

use crate::fleet::Machine;
use crate::ledger::Ledger;
use bytes::{Bytes, BytesMut};
use clock::Millis;
use gateway::Protocol as _;
use http1::net::Patience;
use http1::{Reader, Response, encode, net};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The host that all routes serve.
pub const HOST: &str = "soak.example";
/// Time in which a configuration is in force everywhere.
pub const CONFIGURE: Millis = Millis(3_000);
/// What a caller waits for an answer.
const DEADLINE: Millis = Millis(2_000);
/// Time beyond the deadline in which an answer must have come; a paused process sends none.
const LATE: Millis = Millis(8_000);
const PATIENCE: Patience = Patience { connect: Millis(500), silence: Millis(20_000) };
const HEAD_BYTES: usize = 16 * 1024;
const BODY_BYTES: u64 = 1024 * 1024;
const OBJECTS: u32 = 40;

/// What all callers share.
#[derive(Debug)]
pub struct Desk {
    /// The record.
    pub ledger: Rc<Ledger>,
    /// Whether callers go on.
    pub open: Cell<bool>,
    /// Whether all faults are over and have settled.
    pub calm: Cell<bool>,
    /// The newest configuration with the time of its acknowledgement.
    pub configured: Cell<(u64, Millis)>,
    next: Cell<u64>,
}

impl Desk {
    /// A desk for callers that go on until it is closed.
    pub fn new(ledger: Rc<Ledger>) -> Desk {
        Desk {
            ledger,
            open: Cell::new(true),
            calm: Cell::default(),
            configured: Cell::new((1, Millis::ZERO)),
            next: Cell::default(),
        }
    }

    fn id(&self) -> String {
        let next = self.next.get() + 1;
        self.next.set(next);
        format!("q{next:08x}")
    }
}

/// Sends requests to `machine` over kept connections until the desk closes.
pub async fn call(desk: Rc<Desk>, machine: Rc<Machine>) {
    let mut connection = None;
    while desk.open.get() {
        let is_order = rand::random_ratio(1, 3);
        let object = rand::rng().random_range(0..OBJECTS);
        let path = format!("/{}/{object}", if is_order { "order" } else { "read" });
        let id = desk.id();
        let before = (machine.hurt.get(), desk.ledger.now());
        let is_calm = desk.calm.get();
        let answer = exchange(&mut connection, machine.vm.callers(), &id, &path).await;
        check(&desk, &machine, &id, &path, before, answer.as_ref());
        if is_calm && !is_order {
            desk.ledger.recovered(answer.as_ref().is_some_and(|(head, _)| head.status == 200));
        }
        if answer.is_none() {
            tokio::time::sleep(Millis(50).duration()).await;
        }
        tokio::time::sleep(Millis(rand::rng().random_range(5..40)).duration()).await;
    }
}

fn check(
    desk: &Desk,
    machine: &Machine,
    id: &str,
    path: &str,
    (hurt, sent): (u32, Millis),
    answer: Option<&(Response, Bytes)>,
) {
    let ledger = &desk.ledger;
    let Some((head, body)) = answer else {
        let unharmed = machine.hurt.get() == hurt && ledger.is_calm_since(sent);
        if unharmed && ledger.has_run(id) {
            ledger.broken(format!("{}: {id} ran and its connection was closed", machine.vm.name));
        }
        return;
    };
    let names = platform::Protocol.names();
    ledger.answered(id, head.status, path.starts_with("/order/"));
    if head.status == 200 {
        let signed = head.headers.text(names.signature) == Some(id);
        if !signed || body.as_ref() != format!("{id} {path}").as_bytes() {
            ledger.broken(format!("{}: {id} got an answer that isn't its own", machine.vm.name));
        }
    }
    if head.status == 404 {
        ledger.broken(format!("{}: {id} got 404 for {path}", machine.vm.name));
    }
}

/// Asks `machine` for the newest and the previous configuration's own routes until the desk closes.
pub async fn probe(desk: Rc<Desk>, machine: Rc<Machine>) {
    let newest = RefCell::new((0, 0));
    while desk.open.get() {
        let (version, since) = desk.configured.get();
        for version in [version, version.saturating_sub(1)] {
            probe_version(&desk, &machine, &newest, version, since).await;
        }
        tokio::time::sleep(Millis(150).duration()).await;
    }
}

async fn probe_version(
    desk: &Desk,
    machine: &Machine,
    newest: &RefCell<(u32, u64)>,
    version: u64,
    since: Millis,
) {
    let (starts, hurt, sent) = (machine.starts.get(), machine.hurt.get(), desk.ledger.now());
    let path = format!("/v{version}/");
    let mut connection = None;
    let answer = exchange(&mut connection, machine.vm.callers(), &desk.id(), &path).await;
    let same = machine.starts.get() == starts && machine.hurt.get() == hurt;
    let Some((head, _)) = answer.filter(|_| same) else {
        return;
    };
    let ledger = &desk.ledger;
    let is_newest = desk.configured.get().0 == version;
    let in_time = !ledger.is_calm_since(since) || sent < since + CONFIGURE;
    let served = head.status != 404 && head.status != 503;
    let mut known = newest.borrow_mut();
    if known.0 != starts {
        *known = (starts, 0);
    }
    if served && version < known.1 {
        ledger.broken(format!("{}: back from {} to {version}", machine.vm.name, known.1));
    }
    if served {
        known.1 = known.1.max(version);
    }
    if is_newest && head.status == 404 && (!in_time || known.1 == version) {
        ledger.broken(format!("{}: {version} isn't in force", machine.vm.name));
    }
}

/// Sends a request over the kept connection or a new one; none if the connection ends instead.
async fn exchange(
    connection: &mut Option<Reader<TcpStream>>,
    address: SocketAddr,
    id: &str,
    path: &str,
) -> Option<(Response, Bytes)> {
    let mut reader = match connection.take() {
        Some(reader) => reader,
        None => Reader::new(net::connect(address, PATIENCE).await.ok()?),
    };
    let names = platform::Protocol.names();
    let deadline = DEADLINE.0.to_string();
    let object = path.rsplit('/').next().unwrap_or_default();
    let fields = [
        ("Host", HOST),
        (names.request_id, id),
        (names.deadline, &deadline),
        (names.object, object),
    ];
    let fields = fields.iter().map(|(name, value)| (name.as_bytes(), value.as_bytes()));
    let mut bytes = BytesMut::new();
    encode::request(&mut bytes, b"GET", path.as_bytes(), fields);
    reader.stream_mut().write_all(&bytes).await.ok()?;
    let answer = async {
        let head = reader.response(b"GET", HEAD_BYTES).await.ok()?;
        let body = reader.body(BODY_BYTES).await.ok()?;
        Some((head, body))
    };
    let answer = tokio::time::timeout((DEADLINE + LATE).duration(), answer).await.ok()??;
    if answer.0.keeps {
        *connection = Some(reader);
    }
    Some(answer)
}
