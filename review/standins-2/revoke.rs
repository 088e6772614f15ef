//! A key is taken away. Two seconds later the store goes away for a moment and all gateways are
//! killed; the store comes back from a copy that still has the key, and the operator writes the
//! configuration again within two seconds.

mod lab;

use lab::{
    configuration, has_trouble, ms, new_id, request, sleep, Lab, Link, Options, Record, Route,
    Server, Work,
};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const ROUTES: [Route; 1] = [Route {
    name: "charger-status",
    prefix: "/status/",
    kind: "idempotent",
    timeout_ms: 2_500,
    target_ms: 1_000,
    service: "statusd",
}];
/// The bound `revoke`.
const REVOKE_MS: u64 = 5_000;
const WITHDRAWN_KEY: &str = "2rrytapjsujqurtyiikd";
const KEPT_KEY: &str = "rbn4ryrbbkf83fgfwrz5";
/// Clients at each machine.
const CLIENTS: usize = 4;
/// How long the store is away.
const AWAY_MS: u64 = 4_000;
/// When the operator has written the configuration again after the store's return.
const REWRITE_MS: u64 = 1_500;

/// When each request by the withdrawn key was sent.
type Sent = Arc<Mutex<HashMap<String, Instant>>>;

fn tenant(keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"entry_kind\":\"tenants\",\"metadata\":{{\"name\":\"cuka620\"}},\"spec\":{{\
         \"api_keys\":[{}],\"priority\":1,\"allowed_regions\":[]}}}},",
        keys.join(",")
    )
}

fn ask(address: SocketAddr, key: &str, id: &str) -> io::Result<u16> {
    let mut link = Link::connect(address)?;
    link.stream.set_read_timeout(Some(ms(3_000)))?;
    let fields = format!("Api-Key: {key}\r\nConnection: close\r\n");
    link.send(&request("GET", "/status/1", id, 2_500, &fields))?;
    let head = link.head()?;
    link.body(&head)?;
    Ok(head.status())
}

fn client(address: SocketAddr, key: &str, record: &Record, sent: &Sent, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let id = new_id();
        if key == WITHDRAWN_KEY {
            sent.lock().unwrap().insert(id.clone(), Instant::now());
        }
        record.note(format!("client sends {id} by {key}"));
        match ask(address, key, &id) {
            Ok(status) => record.note(format!("client got {status} to {id}")),
            Err(error) => record.note(format!("client got no answer to {id}: {error}")),
        }
        sleep(100);
    }
}

fn case(path: &Path) -> io::Result<bool> {
    let options = Options::default();
    let bounds = options.bounds.replace("\"drain\":\"2000ms\"", "\"drain\":\"3000ms\"");
    let bounds = bounds.replace("\"config_apply\":\"2000ms\"", "\"config_apply\":\"3000ms\"")
        + ",\"strict_revoke\":true,\"revoke\":\"5000ms\"";
    let lab = Lab::open(path, &Options { bounds, ..options })?;
    let (record, store) = (lab.record.clone(), Arc::clone(&lab.store));
    let both = configuration(1, &ROUTES, &tenant(&[WITHDRAWN_KEY, KEPT_KEY]));
    let without = configuration(2, &ROUTES, &tenant(&[KEPT_KEY]));
    store.put("op", "config", Some(both));
    let zones: Vec<String> = lab.machines.iter().map(|machine| machine.zone.clone()).collect();
    let mut servers: Vec<Arc<Server>> = Vec::new();
    for zone in zones.iter().cycle().take(12) {
        let plan =
            Arc::new(|_: &lab::Arrival| Work { work_ms: 200, body_bytes: 1_500, body_ms: 0 });
        servers.push(lab.server("statusd", zone, 9, plan)?);
    }
    lab.start()?;
    let (sent, is_over) = (Sent::default(), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for machine in &lab.machines {
        for number in 0..CLIENTS {
            let key = if number % 2 == 0 { WITHDRAWN_KEY } else { KEPT_KEY };
            let (address, record) = (machine.clients(), record.clone());
            let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
            clients.push(thread::spawn(move || client(address, key, &record, &sent, &is_over)));
        }
    }
    sleep(2_000);
    store.copy();
    sleep(500);
    store.put("op", "config", Some(without.clone()));
    let withdrawn = Instant::now();
    record.note("the store acknowledges the configuration without the key");
    sleep(2_000);
    if has_trouble() {
        record.note("the store goes away, and all gateways are killed");
        store.go_away();
        lab.machines.iter().for_each(lab::Machine::kill);
        sleep(500);
        for machine in &lab.machines {
            machine.start()?;
        }
        sleep(AWAY_MS - 500);
        store.come_back();
        record.note("the store is back from its copy");
        sleep(REWRITE_MS);
        store.put("op", "config", Some(without));
        record.note("the operator has written the configuration again");
    } else {
        sleep(AWAY_MS + REWRITE_MS);
    }
    sleep(3_000);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().map_err(|_| io::Error::other("a client panicked"))?;
    }
    let late = withdrawn + ms(REVOKE_MS);
    let sent = sent.lock().unwrap();
    let mut broken = 0;
    for (id, _) in sent.iter().filter(|(_, at)| **at > late) {
        if servers.iter().any(|server| server.count(id) > 0) {
            let after = sent[id].duration_since(withdrawn).as_secs_f64();
            record.note(format!("{id} ran, sent {after:.3} s after the acknowledgement"));
            broken += 1;
        }
    }
    let late_count = sent.values().filter(|at| **at > late).count();
    record.say(format!(
        "{late_count} requests by the withdrawn key were sent later than {REVOKE_MS} ms after the \
         acknowledgement; {broken} of them ran"
    ));
    lab.close();
    Ok(broken == 0)
}

fn main() {
    lab::run_case(case)
}
