//! A machine is stopped while clients that pipeline requests wait for a large response.

mod deployment;
mod gateway;
mod http;
mod record;
mod server;
mod store;

use deployment::{Deployment, HOST, Route, connect, has_trouble};
use gateway::Signal;
use http::{Connection, has_ended};
use record::Record;
use server::Plan;
use std::io;
use std::process::ExitCode;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

const CLIENTS: usize = 6;
/// The largest response of the site's downloads.
const DOWNLOAD_BYTES: usize = 540_000;
/// How long clients wait for a download.
const TIME_BUDGET: Duration = Duration::from_secs(6);
/// The line of a client: 150 KB a second.
const PIECE_BYTES: usize = 15_000;
const PIECE_TIME: Duration = Duration::from_millis(100);
/// After the downloads are requested, while the servers are at work on them.
const STOP_AT: Duration = Duration::from_millis(100);
const NEXT_REQUEST_AT: Duration = Duration::from_millis(200);

const DOWNLOADS: Route = Route {
    name: "r-manual",
    prefix: "/manual/",
    kind: "download",
    service: "manual-store",
    timeout: "6000ms",
};
const STATUS: Route = Route {
    name: "r-status",
    prefix: "/status/",
    kind: "idempotent",
    service: "status-desk",
    timeout: "2000ms",
};

fn main() -> ExitCode {
    let directory = std::env::args().nth(1).expect("the folder of the case");
    let record = Arc::new(Record::open(directory.as_ref()));
    let plan = |service: &str, number: usize, work, body| Plan {
        id: format!("i-{service}-{number}"),
        service: service.to_owned(),
        zone: ["antwerpen-haven", "gent-dok"][number % 2].to_owned(),
        slots: 8,
        work: Duration::from_millis(work),
        body,
    };
    let mut plans: Vec<Plan> =
        (0..4).map(|number| plan("manual-store", number, 400, DOWNLOAD_BYTES)).collect();
    plans.extend((0..2).map(|number| plan("status-desk", number, 30, 1_500)));
    let Some(deployment) = Deployment::open(&record, plans, &[DOWNLOADS, STATUS]) else {
        record.say("result", "the machines did not become ready");
        return ExitCode::from(2);
    };
    let result = play(&deployment, &record);
    deployment.close();
    match result {
        Ok(0) => {
            record.say("result", "every download was complete");
            ExitCode::SUCCESS
        }
        Ok(lost) => {
            record.say("result", &format!("LOST: {lost} of {CLIENTS} downloads that ran were cut"));
            ExitCode::from(1)
        }
        Err(reason) => {
            record.say("result", &format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// Returns the number of downloads that servers ran and whose connection ended before the answer.
fn play(deployment: &Deployment, record: &Arc<Record>) -> Result<usize, String> {
    let address = deployment.resolve(0).first().cloned().ok_or("the directory names nobody")?;
    let gateways = &deployment.gateways;
    let gateway = gateways.iter().find(|gateway| gateway.callers() == address);
    let gateway = gateway.ok_or("the directory names another machine")?;
    let barrier = Arc::new(Barrier::new(CLIENTS + 1));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client { number, record: Arc::clone(record) };
            let (address, barrier) = (address.clone(), Arc::clone(&barrier));
            std::thread::spawn(move || client.run(&address, &barrier))
        })
        .collect();
    barrier.wait();
    std::thread::sleep(STOP_AT);
    if has_trouble() {
        record.say("platform", &format!("SIGTERM to {}", gateway.machine.name));
        gateway.signal(Signal::Terminate);
    }
    let mut lost = 0;
    for client in clients {
        let ended = client.join().map_err(|_| "a client failed")?;
        let id = ended.map_err(|error| format!("a client could not begin: {error}"))?;
        if let Some(id) = id {
            lost += usize::from(deployment.servers.iter().any(|server| server.has_run(&id)));
        }
    }
    Ok(lost)
}

struct Client {
    number: usize,
    record: Arc<Record>,
}

impl Client {
    /// Returns the id of the download if its connection ended within the time budget and before the
    /// answer was complete.
    fn run(&self, address: &str, barrier: &Barrier) -> io::Result<Option<String>> {
        let connection = connect(address);
        let prepared = connection.and_then(|mut connection| {
            connection.stream.set_read_timeout(Some(TIME_BUDGET))?;
            self.send(&mut connection, 1, "/status/first")?;
            let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            connection.body(head.length())?;
            Ok(connection)
        });
        barrier.wait();
        let mut connection = prepared?;
        let started = Instant::now();
        let id = self.send(&mut connection, 2, "/manual/large")?;
        std::thread::sleep(NEXT_REQUEST_AT);
        // Further idempotent requests are sent before the first has been answered.
        self.send(&mut connection, 3, "/status/next")?;
        let mut received = 0;
        let result = download(&mut connection, &id, &mut received);
        let took = started.elapsed();
        let text = format!("client {} {id} {received} bytes, {} ms", self.number, took.as_millis());
        match result {
            Ok(()) => {
                self.record.line("complete", &text);
                let next = connection.head().ok().flatten().map(|head| head.start);
                self.record.line("next", &format!("client {} {next:?}", self.number));
                Ok(None)
            }
            Err(error) => {
                self.record.line("cut", &format!("{text}: {error}"));
                // A whole answer of another status and a client's own time-out aren't cuts.
                Ok((took < TIME_BUDGET && has_ended(&error)).then_some(id))
            }
        }
    }

    fn send(&self, connection: &mut Connection, request: usize, path: &str) -> io::Result<String> {
        let id = format!("{:08x}{request:08x}", self.number);
        self.record.line("sent", &format!("client {} {id} GET {path}", self.number));
        let budget = TIME_BUDGET.as_millis();
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {budget}\r\n\r\n"
        );
        connection.send(text.as_bytes())?;
        Ok(id)
    }
}

/// Reads the answer with the given id as fast as the client's line allows.
fn download(connection: &mut Connection, id: &str, received: &mut usize) -> io::Result<()> {
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 || head.get("x-request-id") != Some(id) {
        return Err(io::Error::other(head.start));
    }
    let length = head.length();
    while *received < length {
        let piece = PIECE_BYTES.min(length - *received);
        connection.body(piece)?;
        *received += piece;
        std::thread::sleep(PIECE_TIME);
    }
    Ok(())
}
