//! Callers on persistent connections, and probes of the configuration in force.

use crate::accounts::Credentials;
use crate::checker::Checker;
use crate::fleet::Gateway;
use bytes::{Bytes, BytesMut};
use clock::Millis;
use gateway::Protocol as _;
use http1::net::Timeouts;
use http1::{Reader, Response, encode, net};
use rand::RngExt;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The host of all routes.
pub const HOST: &str = "soak.example";
/// Time after which a committed configuration must be in force on every VM.
pub const CONFIGURATION_BOUND: Millis = Millis(3_000);
/// Deadline that callers send with a request.
const DEADLINE: Millis = Millis(2_000);
/// How long callers wait beyond the deadline; a paused process can't respond in time.
const GRACE: Millis = Millis(8_000);
const TIMEOUTS: Timeouts = Timeouts { connect: Millis(500), silence: Millis(20_000) };
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_BODY_BYTES: u64 = 1024 * 1024;
const OBJECTS: u32 = 40;

/// State that all callers and probes share.
#[derive(Debug)]
pub struct Workload {
    /// Checks what callers and probes observe.
    pub checker: Rc<Checker>,
    /// Whether callers and probes continue to send.
    pub is_running: Cell<bool>,
    /// Whether all faults have ended and their effects are over.
    pub is_final_phase: Cell<bool>,
    /// Version of the newest configuration, and when the store acknowledged it.
    pub configured: Cell<(u64, Millis)>,
    last_id: Cell<u64>,
}

impl Workload {
    /// A workload that runs until `is_running` is cleared.
    pub fn new(checker: Rc<Checker>) -> Workload {
        Workload {
            checker,
            is_running: Cell::new(true),
            is_final_phase: Cell::default(),
            configured: Cell::new((1, Millis::ZERO)),
            last_id: Cell::default(),
        }
    }

    fn next_id(&self) -> String {
        let next = self.last_id.get() + 1;
        self.last_id.set(next);
        format!("q{next:08x}")
    }
}

/// What a caller sends.
#[derive(Clone, Copy, Debug)]
pub enum Sender {
    /// Requests with all kinds of credentials while the workload runs.
    Ordinary,
    /// Requests of the account that exceeds its cap, until the given time.
    Hot(Millis),
}

impl Sender {
    fn is_done(self, workload: &Workload) -> bool {
        let is_over = matches!(self, Sender::Hot(until) if workload.checker.now() >= until);
        is_over || !workload.is_running.get()
    }

    fn credentials(self, checker: &Checker) -> Credentials {
        let keyring = &checker.ledger.borrow().keyring;
        match self {
            Sender::Ordinary => keyring.draw(&mut rand::rng()),
            Sender::Hot(_) => keyring.hot(),
        }
    }

    fn prefix(self) -> &'static str {
        match rand::rng().random_range(0..30) {
            0..10 => "order",
            10..13 if matches!(self, Sender::Ordinary) => "open",
            _ => "read",
        }
    }
}

/// Sends requests to `gateway` over a persistent connection.
pub async fn send_requests(workload: Rc<Workload>, gateway: Rc<Gateway>, sender: Sender) {
    let mut connection = None;
    while !sender.is_done(&workload) {
        let prefix = sender.prefix();
        let (is_order, needs_key) = (prefix == "order", prefix != "open");
        let path = format!("/{prefix}/{}", rand::rng().random_range(0..OBJECTS));
        let id = workload.next_id();
        let credentials = sender.credentials(&workload.checker);
        let is_authorized = {
            let mut ledger = workload.checker.ledger.borrow_mut();
            ledger.record_request(&id, credentials.clone(), needs_key, workload.checker.now());
            ledger.is_authorized(&id)
        };
        let at_send = (gateway.disruptions.get(), workload.checker.now());
        let is_final_phase = workload.is_final_phase.get();
        let response =
            exchange(&mut connection, gateway.vm.callers(), &id, &path, &credentials).await;
        check_response(&workload, &gateway, &id, &path, at_send, response.as_ref());
        if is_final_phase && is_authorized && !is_order {
            let status = response.as_ref().map_or(0, |(head, _)| head.status);
            workload.checker.record_final_read(status);
        }
        if response.is_none() {
            tokio::time::sleep(Millis(50).duration()).await;
        }
        tokio::time::sleep(Millis(rand::rng().random_range(5..40)).duration()).await;
    }
}

fn check_response(
    workload: &Workload,
    gateway: &Gateway,
    id: &str,
    path: &str,
    (disruptions, sent): (u32, Millis),
    response: Option<&(Response, Bytes)>,
) {
    let checker = &workload.checker;
    let Some((head, body)) = response else {
        let undisturbed =
            gateway.disruptions.get() == disruptions && checker.is_settled_since(sent);
        if undisturbed && checker.was_executed(id) {
            checker.report_violation(format!(
                "{}: request {id} was executed, but got no response",
                gateway.vm.name
            ));
        }
        return;
    };
    let names = platform::Protocol.names();
    let text = String::from_utf8_lossy(body);
    let is_capped = head.status == 429 || head.status == 503 && text.contains("cap_unknown");
    checker.record_response(id, head.status, is_capped, path.starts_with("/order/"));
    if head.status == 200 {
        let signed = head.headers.text(names.signature) == Some(id);
        if !signed || body.as_ref() != format!("{id} {path}").as_bytes() {
            checker.report_violation(format!(
                "{}: request {id} got a response with a wrong signature or body",
                gateway.vm.name
            ));
        }
    }
    if head.status == 404 {
        checker.report_violation(format!(
            "{}: request {id} got status 404 for {path}",
            gateway.vm.name
        ));
    }
}

/// Requests the routes that only the newest or only the previous configuration has, to check that
/// `gateway` puts the newest in force in time and never goes back.
pub async fn probe(workload: Rc<Workload>, gateway: Rc<Gateway>) {
    let newest_seen = RefCell::new((0, 0));
    while workload.is_running.get() {
        let (version, _) = workload.configured.get();
        for version in [version, version.saturating_sub(1)] {
            probe_version(&workload, &gateway, &newest_seen, version).await;
        }
        tokio::time::sleep(Millis(150).duration()).await;
    }
}

async fn probe_version(
    workload: &Workload,
    gateway: &Gateway,
    newest_seen: &RefCell<(u32, u64)>,
    version: u64,
) {
    let (starts, disruptions, sent) =
        (gateway.starts.get(), gateway.disruptions.get(), workload.checker.now());
    let path = format!("/v{version}/");
    let mut connection = None;
    let id = workload.next_id();
    let none = Credentials::default();
    let response = exchange(&mut connection, gateway.vm.callers(), &id, &path, &none).await;
    let undisrupted = gateway.starts.get() == starts && gateway.disruptions.get() == disruptions;
    let Some((head, _)) = response.filter(|_| undisrupted) else {
        return;
    };
    let checker = &workload.checker;
    // A recovery of the store puts the time off.
    let (newest, committed) = workload.configured.get();
    let is_newest = newest == version;
    let may_be_pending =
        !checker.is_settled_since(committed) || sent < committed + CONFIGURATION_BOUND;
    let served = head.status != 404 && head.status != 503;
    // The newest version that this process has served, with the number of the process's start.
    let mut known = newest_seen.borrow_mut();
    if known.0 != starts {
        *known = (starts, 0);
    }
    if served && version < known.1 {
        checker.report_violation(format!(
            "{}: configuration {version} was served after {}",
            gateway.vm.name, known.1
        ));
    }
    if served {
        known.1 = known.1.max(version);
    }
    if is_newest && head.status == 404 && (!may_be_pending || known.1 == version) {
        checker.report_violation(format!(
            "{}: configuration {version} isn't in force",
            gateway.vm.name
        ));
    }
}

/// Sends a request over `connection` or a new one; `None` if the connection fails or no complete
/// response comes in time. A connection that can be reused is left in `connection`.
async fn exchange(
    connection: &mut Option<Reader<TcpStream>>,
    address: SocketAddr,
    id: &str,
    path: &str,
    credentials: &Credentials,
) -> Option<(Response, Bytes)> {
    let mut reader = match connection.take() {
        Some(reader) => reader,
        None => Reader::new(net::connect(address, TIMEOUTS).await.ok()?),
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
    let keys = credentials.keys.iter().map(|key| (names.key, key.as_str()));
    let claimed = credentials.claimed_account.iter().map(|name| (names.account, *name));
    let fields = fields.into_iter().chain(keys).chain(claimed);
    let fields = fields.map(|(name, value)| (name.as_bytes(), value.as_bytes()));
    let mut bytes = BytesMut::new();
    encode::request(&mut bytes, b"GET", path.as_bytes(), fields);
    reader.stream_mut().write_all(&bytes).await.ok()?;
    let response = async {
        let head = reader.response(b"GET", MAX_HEAD_BYTES).await.ok()?;
        let body = reader.body(MAX_BODY_BYTES).await.ok()?;
        Some((head, body))
    };
    let response = tokio::time::timeout((DEADLINE + GRACE).duration(), response).await.ok()??;
    if response.0.keep_alive {
        *connection = Some(reader);
    }
    Some(response)
}
