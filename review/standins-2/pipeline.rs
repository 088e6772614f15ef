//! Clients send idempotent requests ahead on connections that they keep, and read the answers some
//! seconds later, well within their time budget.

mod lab;

use lab::{
    configuration, has_trouble, ms, new_id, request, sleep, Lab, Link, Options, Record, Route,
    Server, Work,
};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;

const ROUTES: [Route; 1] = [Route {
    name: "charger-status",
    prefix: "/status/",
    kind: "idempotent",
    timeout_ms: 2_500,
    target_ms: 1_000,
    service: "statusd",
}];
/// The time budget of `charger-status`.
const BUDGET_MS: u64 = 8_000;
const CLIENTS: usize = 4;
/// Requests that a client sends ahead on its kept connection.
const AHEAD: usize = 30;
/// The most bytes of an answer on the sheet.
const ANSWER_BYTES: usize = 9_000;
const KEY: &str = "2rrytapjsujqurtyiikd";
const TENANT: &str = "{\"entry_kind\":\"tenants\",\"metadata\":{\"name\":\"cuka620\"},\"spec\":{\
    \"api_keys\":[\"2rrytapjsujqurtyiikd\"],\"priority\":1,\"allowed_regions\":[]}},";
/// `stable_window`: after it, a machine that was started is in touch.
const STABLE_MS: u64 = 4_000;
/// How long a client doesn't read.
const PAUSE_MS: u64 = 6_000;
/// The rule tolerates as many.
const TOLERATED: usize = 3;

fn status(id: &str) -> Vec<u8> {
    request("GET", "/status/1", id, BUDGET_MS, &format!("Api-Key: {KEY}\r\n"))
}

/// Returns the ids of the requests without a complete answer, and whether the first byte of it came.
fn client(address: SocketAddr, record: &Record) -> io::Result<Vec<(String, bool)>> {
    let mut link = Link::connect(address)?;
    link.stream.set_read_timeout(Some(ms(BUDGET_MS)))?;
    let first = new_id();
    link.send(&status(&first))?;
    let head = link.head()?;
    link.body(&head)?;
    record.note(format!("client got {} to {first}; the connection is kept", head.status()));
    let ids: Vec<String> = (0..AHEAD).map(|_| new_id()).collect();
    for id in &ids {
        link.send(&status(id))?;
        record.note(format!("client sends {id} on the kept connection"));
    }
    if has_trouble() {
        sleep(PAUSE_MS);
    }
    let mut lost = Vec::new();
    for id in &ids {
        let head = link.head();
        let has_begun = head.is_ok() || link.buffered() > 0;
        let whole = head.and_then(|head| link.body(&head).map(|_| head.status()));
        match whole {
            Ok(status) => record.note(format!("client got {status} to {id}")),
            Err(error) => {
                record.note(format!("no whole answer to {id} (begun: {has_begun}): {error}"));
                // The end of the client's time budget is no close of the connection.
                if !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) {
                    lost.push((id.clone(), has_begun));
                }
            }
        }
    }
    Ok(lost)
}

fn case(path: &Path) -> io::Result<bool> {
    // The bounds of the deployment with tenants.
    let options = Options::default();
    let bounds = options.bounds.replace("\"drain\":\"2000ms\"", "\"drain\":\"3000ms\"");
    let bounds = bounds.replace("\"stable_window\":\"3000ms\"", "\"stable_window\":\"4000ms\"");
    let bounds = bounds.replace("\"config_apply\":\"2000ms\"", "\"config_apply\":\"3000ms\"")
        + ",\"strict_revoke\":true,\"revoke\":\"5000ms\"";
    let lab = Lab::open(path, &Options { bounds, ..options })?;
    lab.store.put("op", "config", Some(configuration(1, &ROUTES, TENANT)));
    let zones: Vec<String> = lab.machines.iter().map(|machine| machine.zone.clone()).collect();
    let mut servers: Vec<Arc<Server>> = Vec::new();
    for zone in zones.iter().cycle().take(12) {
        let plan = Arc::new(|_: &lab::Arrival| Work {
            work_ms: 500,
            body_bytes: ANSWER_BYTES,
            body_ms: 0,
        });
        servers.push(lab.server("statusd", zone, 9, plan)?);
    }
    lab.start()?;
    sleep(STABLE_MS);
    let (record, address) = (lab.record.clone(), lab.machines[0].clients());
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || client(address, &record))
        })
        .collect();
    let (mut truncated, mut unanswered) = (0, 0);
    for client in clients {
        let lost = client.join().map_err(|_| io::Error::other("a client panicked"))??;
        for (id, has_begun) in lost {
            let has_run = servers.iter().any(|server| server.count(&id) > 0);
            truncated += usize::from(has_run && has_begun);
            unanswered += usize::from(has_run && !has_begun);
        }
    }
    record.say(format!(
        "{} requests that servers ran on {CLIENTS} kept connections: {unanswered} without an answer when \
         the connection was closed, {truncated} with a truncated one; tolerated: {TOLERATED}",
        CLIENTS * AHEAD
    ));
    lab.close();
    Ok(unanswered <= TOLERATED)
}

fn main() {
    lab::run_case(case)
}
