//! Two clients that nobody controls send an order of the largest legal size each. Meanwhile ordinary
//! clients fetch manuals on connections that they keep.

mod lab;

use lab::{
    configuration, has_trouble, ms, new_id, request, sleep, Lab, Link, Options, Record, Route,
    Server, Work,
};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const ROUTES: [Route; 2] = [
    Route {
        name: "part-order",
        prefix: "/order/",
        kind: "non_idempotent",
        timeout_ms: 8_000,
        target_ms: 300,
        service: "order-desk",
    },
    Route {
        name: "manual-fetch",
        prefix: "/manual/",
        kind: "download",
        timeout_ms: 1_500,
        target_ms: 250,
        service: "manual-store",
    },
];
/// `max_body_bytes` of the configuration.
const LARGEST_BODY: usize = 67_108_864;
/// Bytes of the large orders.
const LARGE_ORDERS: [usize; 2] = [LARGEST_BODY, LARGEST_BODY];
/// The pause after each MiB of an order: both send 0.67 Gbit/s, so that nothing waits at the link.
const PART_MS: u64 = 25;
/// `stable_window`: after it, a machine that was started is in touch.
const STABLE_MS: u64 = 3_000;
/// Ordinary clients at one machine.
const CLIENTS: usize = 30;
const MANUAL_BYTES: usize = 200_000;
/// The time that a server takes to send one: 20 Mbit/s.
const MANUAL_MS: u64 = 80;
/// The rule tolerates as many.
const TOLERATED: usize = 3;

/// How a request on a kept connection ended for its client.
enum End {
    Answered(u16),
    /// The connection was closed before the first byte of an answer.
    Unanswered,
    /// The connection was closed within the answer.
    Truncated,
    /// The client's time budget ended.
    TimedOut,
}

fn is_time_out(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn fetch(link: &mut Link, id: &str) -> End {
    let sent = link.send(&request("GET", "/manual/pump-7", id, 1_500, ""));
    if sent.is_err() {
        return End::Unanswered;
    }
    match link.head() {
        Err(error) if is_time_out(&error) => End::TimedOut,
        Err(_) if link.buffered() == 0 => End::Unanswered,
        Err(_) => End::Truncated,
        Ok(head) => match link.body(&head) {
            Ok(_) => End::Answered(head.status()),
            Err(error) if is_time_out(&error) => End::TimedOut,
            Err(_) => End::Truncated,
        },
    }
}

/// Fetches manuals one after the other until `end`; returns how many requests were sent on kept
/// connections, and the ids of those whose connection was closed without an answer.
fn client(address: SocketAddr, record: &Record, end: Instant) -> (usize, Vec<String>) {
    let (mut sent, mut lost) = (0, Vec::new());
    while Instant::now() < end {
        let Ok(mut link) = Link::connect(address) else { continue };
        let _ = link.stream.set_read_timeout(Some(ms(1_500)));
        let mut is_kept = false;
        while Instant::now() < end {
            let id = new_id();
            record.note(format!("client sends {id} ({})", if is_kept { "kept" } else { "new" }));
            sent += usize::from(is_kept);
            match fetch(&mut link, &id) {
                End::Answered(status) => record.note(format!("client got {status} to {id}")),
                End::Unanswered => {
                    record
                        .note(format!("client's connection was closed without an answer to {id}"));
                    if is_kept {
                        lost.push(id);
                    }
                    break;
                }
                End::TimedOut => {
                    record.note(format!("client waits no longer for {id}"));
                    break;
                }
                End::Truncated => {
                    record
                        .note(format!("client's connection was closed within the answer to {id}"));
                    break;
                }
            }
            is_kept = true;
            sleep(100);
        }
    }
    (sent, lost)
}

fn order(address: SocketAddr, record: &Record, bytes: usize) -> io::Result<()> {
    let mut link = Link::connect(address)?;
    link.stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let id = new_id();
    record.note(format!("large order {id} is sent, {bytes} bytes"));
    let length = format!("Content-Length: {bytes}\r\n");
    link.send(&request("POST", "/order/1", &id, 8_000, &length))?;
    let part = vec![b'x'; 1 << 20];
    let mut left = bytes;
    while left > 0 {
        let now = left.min(part.len());
        link.send(&part[..now])?;
        left -= now;
        sleep(PART_MS);
    }
    let head = link.head()?;
    record.note(format!("large order {id} got {}", head.status()));
    Ok(())
}

fn case(path: &Path) -> io::Result<bool> {
    let lab = Lab::open(path, &Options::default())?;
    lab.store.put("op", "config", Some(configuration(1, &ROUTES, "")));
    let zones: Vec<String> = lab.machines.iter().map(|machine| machine.zone.clone()).collect();
    let mut manuals: Vec<Arc<Server>> = Vec::new();
    let mut orders: Vec<Arc<Server>> = Vec::new();
    for zone in zones.iter().cycle().take(12) {
        let plan = Arc::new(|_: &lab::Arrival| Work {
            work_ms: 240,
            body_bytes: MANUAL_BYTES,
            body_ms: MANUAL_MS,
        });
        manuals.push(lab.server("manual-store", zone, 3, plan)?);
        let plan =
            Arc::new(|_: &lab::Arrival| Work { work_ms: 4_000, body_bytes: 1_500, body_ms: 0 });
        orders.push(lab.server("order-desk", zone, 3, plan)?);
    }
    lab.start()?;
    sleep(STABLE_MS);
    let (record, address) = (lab.record.clone(), lab.machines[0].clients());
    let seconds = Instant::now() + ms(8_000);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            sleep(number as u64 % 7);
            thread::spawn(move || client(address, &record, seconds))
        })
        .collect();
    sleep(2_000);
    let answered = Arc::new(AtomicUsize::new(0));
    if has_trouble() {
        for bytes in LARGE_ORDERS {
            let (record, answered) = (record.clone(), Arc::clone(&answered));
            thread::spawn(move || {
                if let Err(error) = order(address, &record, bytes) {
                    record.note(format!("large order failed: {error}"));
                }
                answered.fetch_add(1, Ordering::Relaxed);
            });
        }
    }
    let (mut sent, mut lost) = (0, Vec::new());
    for client in clients {
        let (count, ids) = client.join().map_err(|_| io::Error::other("a client panicked"))?;
        sent += count;
        lost.extend(ids);
    }
    sleep(3_000);
    let passed_on = lost.iter().filter(|id| manuals.iter().any(|server| server.count(id) > 0));
    let passed_on = passed_on.count();
    let memory = lab.machines[0].memory_kb() / 1_024;
    record.say(format!(
        "{sent} requests of ordinary clients on kept connections; {} connections closed without an \
         answer, {passed_on} of them with a request that a server ran; tolerated: {TOLERATED}; \
         resident memory of the gateway now {memory} MB",
        lost.len(),
    ));
    lab.close();
    Ok(passed_on <= TOLERATED)
}

fn main() {
    lab::run_case(case)
}
