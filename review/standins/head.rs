//! A route is removed while clients that send HEAD requests keep their connections.

mod deployment;
mod gateway;
mod http;
mod record;
mod server;
mod store;

use deployment::{CONFIG_APPLY, Deployment, HOST, Route, connect, has_trouble};
use http::Connection;
use record::Record;
use server::Plan;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

const CLIENTS: usize = 6;
const STATUS: Route = Route {
    name: "r-status",
    prefix: "/status/",
    kind: "idempotent",
    service: "status-desk",
    timeout: "2000ms",
};
const OLD: Route = Route { name: "r-old", prefix: "/old/", ..STATUS };

fn main() -> ExitCode {
    let directory = std::env::args().nth(1).expect("the folder of the case");
    let record = Arc::new(Record::open(directory.as_ref()));
    let plan = |number: usize, zone: &str| Plan {
        id: format!("i-status-{number}"),
        service: "status-desk".to_owned(),
        zone: zone.to_owned(),
        slots: 8,
        work: Duration::from_millis(30),
        body: 1_500,
    };
    let plans = vec![plan(1, "antwerpen-haven"), plan(2, "antwerpen-haven"), plan(3, "gent-dok")];
    let Some(deployment) = Deployment::open(&record, plans, &[STATUS, OLD]) else {
        record.say("result", "the machines did not become ready");
        return ExitCode::from(2);
    };
    let result = play(&deployment, &record);
    deployment.close();
    match result {
        Ok(0) => {
            record.say("result", "every answer was one in the protocol");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            record.say(
                "result",
                &format!("MIXED: {broken} connections had bytes that are no answer"),
            );
            ExitCode::from(1)
        }
        Err(reason) => {
            record.say("result", &format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// Returns the number of connections with bytes that are no answer.
fn play(deployment: &Deployment, record: &Record) -> Result<usize, String> {
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let addresses = deployment.resolve(number % 2);
        let address = addresses.first().ok_or("the directory names no machine")?;
        let connection = connect(address).map_err(|error| error.to_string())?;
        clients.push(Client { number, requests: 0, connection, record });
    }
    let mut broken = 0;
    let mut round = |clients: &mut Vec<Client<'_>>| {
        clients.retain_mut(|client| {
            let is_sound = ["HEAD /status/a", "HEAD /old/b", "GET /status/c"]
                .into_iter()
                .all(|request| client.request(request));
            broken += usize::from(!is_sound);
            is_sound
        });
    };
    round(&mut clients);
    if has_trouble() {
        deployment.configure(2, &[STATUS]);
    }
    std::thread::sleep(CONFIG_APPLY + Duration::from_millis(500));
    round(&mut clients);
    Ok(broken)
}

struct Client<'a> {
    number: usize,
    requests: usize,
    connection: Connection,
    record: &'a Record,
}

impl Client<'_> {
    /// Sends a request and reads its answer, which has no body if the method is HEAD. Returns false
    /// if the bytes are no answer in the protocol.
    fn request(&mut self, request: &str) -> bool {
        self.requests += 1;
        let id = format!("{:04x}{:012x}", self.number, self.requests);
        self.record.line("sent", &format!("client {} {id} {request}", self.number));
        let text = format!(
            "{request} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2000\r\n\r\n"
        );
        let patience = Some(Duration::from_secs(3));
        let sent = self.connection.stream.set_read_timeout(patience);
        if sent.and_then(|()| self.connection.send(text.as_bytes())).is_err() {
            self.record.line("closed", &format!("client {} {id}", self.number));
            return true;
        }
        let Ok(Some(head)) = self.connection.head() else {
            self.record.line("no answer", &format!("client {} {id}", self.number));
            return true;
        };
        let body = if request.starts_with("HEAD ") { 0 } else { head.length() };
        let text = format!("client {} {id} {:?}, {body} bytes follow", self.number, head.start);
        self.record.line("answered", &text);
        if head.status() == 0 || self.connection.body(body).is_err() {
            return head.status() != 0;
        }
        if !self.connection.rest().is_empty() {
            let rest = String::from_utf8_lossy(self.connection.rest()).into_owned();
            self.record.line("surplus", &format!("client {} {id} {rest:?}", self.number));
            self.record_next_answer();
            return false;
        }
        true
    }

    /// Sends one more request and records what the client takes for its answer.
    fn record_next_answer(&mut self) {
        self.requests += 1;
        let id = format!("{:04x}{:012x}", self.number, self.requests);
        self.record.line("sent", &format!("client {} {id} GET /status/d", self.number));
        let text = format!("GET /status/d HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\r\n");
        let sent = self.connection.send(text.as_bytes());
        let answer = sent.and_then(|()| self.connection.head());
        let start = answer.map(|head| head.map(|head| head.start));
        self.record.line("answered", &format!("client {} {id} {start:?}", self.number));
    }
}
