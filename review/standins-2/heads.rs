//! Clients that nobody controls: two send a body of the largest legal size each, many send 32 requests
//! ahead of the first answer, with heads within `max_header_bytes`. The script stands in for the
//! platform, which kills a process that exceeds `memory_mb` and starts it again.

mod lab;

use lab::{
    configuration, has_trouble, ms, new_id, request, sleep, Lab, Link, Machine, Options, Record,
    Route, Work,
};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const ROUTES: [Route; 4] = [
    Route {
        name: "status-read",
        prefix: "/status/",
        kind: "idempotent",
        timeout_ms: 5_000,
        target_ms: 300,
        service: "etat-circuits",
    },
    Route {
        name: "circuit-read",
        prefix: "/circuit/",
        kind: "idempotent",
        timeout_ms: 5_000,
        target_ms: 300,
        service: "commande-poteaux",
    },
    Route {
        name: "artwork-pack",
        prefix: "/artwork/",
        kind: "download",
        timeout_ms: 5_000,
        target_ms: 300,
        service: "depot-visuels",
    },
    Route {
        name: "meter-audit",
        prefix: "/audit/",
        kind: "idempotent",
        timeout_ms: 5_000,
        target_ms: 800,
        service: "releve-compteurs",
    },
];
/// The services of the site with the slots of a server.
const SERVICES: [(&str, usize); 4] =
    [("etat-circuits", 8), ("commande-poteaux", 4), ("depot-visuels", 3), ("releve-compteurs", 8)];
/// The zones with their regions and the servers of each service.
const ZONES: [(&str, &str, usize); 6] = [
    ("tanger-a", "nord", 3),
    ("tetouan-b", "nord", 3),
    ("fes-a", "centre", 1),
    ("meknes-b", "centre", 1),
    ("agadir-a", "sud", 2),
    ("tiznit-b", "sud", 2),
];
/// Bodies of the largest legal size, `max_body_bytes`.
const LARGE_BODIES: usize = 2;
const LARGE_BYTES: usize = 67_108_864;
/// The pause after each MiB: two bodies send 840 Mbit/s, on a link of 1,000.
const LARGE_PAUSE_MS: u64 = 20;
const LARGE_TRIES: usize = 5;
/// Clients that read ahead of their answers in one wave, all at one machine.
const CLIENTS: usize = 300;
/// Requests that a client sends before it reads an answer.
const AHEAD: usize = 32;
/// Bytes of a head; `max_header_bytes` is 16384.
const HEAD_BYTES: usize = 16_000;
/// The bytes of a head without the disruption.
const SMALL_HEAD_BYTES: usize = 400;
/// The pause between two requests of a client: all of them send 950 Mbit/s, on a link of 1,000.
const PAUSE_MS: u64 = 40;
/// How long a server works: the sheet has 1,700 to 8,600 ms as the most.
const WORK_MS: u64 = 1_500;
const LARGE_WORK_MS: u64 = 4_000;
const WAVES: usize = 4;
const MACHINES: usize = 2;

fn padded(path: &str, bytes: usize) -> Vec<u8> {
    let id = new_id();
    let bare = request("GET", path, &id, 8_000, "X-Context: \r\n").len();
    let padding = "x".repeat(bytes.saturating_sub(bare));
    request("GET", path, &id, 8_000, &format!("X-Context: {padding}\r\n"))
}

/// Returns the numbers of answers with status 200 and of others.
fn client(address: SocketAddr, prefix: &str, head_bytes: usize) -> io::Result<[usize; 2]> {
    let mut link = Link::connect(address)?;
    link.stream.set_read_timeout(Some(ms(8_000)))?;
    for _ in 0..AHEAD {
        link.send(&padded(&format!("{prefix}1"), head_bytes))?;
        sleep(PAUSE_MS);
    }
    let mut answers = [0, 0];
    for _ in 0..AHEAD {
        let head = link.head()?;
        link.body(&head)?;
        answers[usize::from(head.status() != 200)] += 1;
    }
    Ok(answers)
}

/// Sends a large body; comes back if it is refused.
fn large(address: SocketAddr, sent: &AtomicUsize) -> io::Result<u16> {
    let part = vec![b'x'; 1 << 20];
    for _ in 0..LARGE_TRIES {
        let mut link = Link::connect(address)?;
        let length = format!("Content-Length: {LARGE_BYTES}\r\n");
        link.send(&request("PUT", "/audit/large", &new_id(), 5_000, &length))?;
        for _ in 0..LARGE_BYTES / part.len() {
            link.send(&part)?;
            sleep(LARGE_PAUSE_MS);
        }
        link.stream.set_read_timeout(Some(ms(200)))?;
        let early = link.head();
        if early.as_ref().is_ok_and(|head| head.status() == 503) {
            sleep(300);
            continue;
        }
        sent.fetch_add(1, Ordering::Relaxed);
        link.stream.set_read_timeout(Some(ms(8_000)))?;
        return match early {
            Ok(head) => Ok(head.status()),
            Err(_) => Ok(link.head()?.status()),
        };
    }
    Ok(503)
}

/// Watches one machine as the platform does; returns the ends of its process.
fn watch(
    machine: &Machine,
    limit_mb: u64,
    record: &Record,
    until: &AtomicBool,
    peak: &AtomicU64,
) -> usize {
    let mut ends = 0;
    while !until.load(Ordering::Relaxed) {
        let used = machine.memory_kb();
        peak.fetch_max(used, Ordering::Relaxed);
        if used > limit_mb * 1_024 {
            ends += 1;
            record.note(format!("{} uses {used} kB, over {limit_mb} MB: killed", machine.name));
            machine.kill();
            sleep(500);
            let _ = machine.start();
        } else if !machine.is_alive() {
            ends += 1;
            record.note(format!("{} has ended by itself", machine.name));
            let _ = machine.start();
        }
        sleep(10);
    }
    ends
}

fn case(path: &Path) -> io::Result<bool> {
    let zones = ZONES.iter().map(|(zone, region, _)| (zone.to_string(), region.to_string()));
    let options = Options { zones: zones.take(4).collect(), ..Options::default() };
    let all = ZONES.iter().map(|(zone, region, _)| (zone.to_string(), region.to_string()));
    let options = Options { known: all.collect(), ..options };
    let lab = Lab::open(path, &options)?;
    lab.store.put("op", "config", Some(configuration(1, &ROUTES, "")));
    for (zone, _, count) in ZONES {
        for (service, slots) in SERVICES {
            for _ in 0..count {
                let plan = Arc::new(|arrival: &lab::Arrival| Work {
                    work_ms: if arrival.body > 0 { LARGE_WORK_MS } else { WORK_MS },
                    body_bytes: 1_500,
                    body_ms: 0,
                });
                lab.server(service, zone, slots, plan)?;
            }
        }
    }
    lab.start()?;
    let record = lab.record.clone();
    let head_bytes = if has_trouble() { HEAD_BYTES } else { SMALL_HEAD_BYTES };
    let (done, peaks) = (AtomicBool::new(false), [AtomicU64::new(0), AtomicU64::new(0)]);
    let mut ends = [0; MACHINES];
    thread::scope(|scope| {
        let watchers: Vec<_> = (0..MACHINES)
            .map(|number| {
                let (machine, record, done, peak) =
                    (&lab.machines[number], &record, &done, &peaks[number]);
                scope.spawn(move || watch(machine, options.memory_mb, record, done, peak))
            })
            .collect();
        for wave in 0..WAVES {
            for machine in &lab.machines[..MACHINES] {
                let end = Instant::now() + ms(10_000);
                while !machine.is_ready() && Instant::now() < end {
                    sleep(50);
                }
                // The servers end what an earlier wave left them.
                sleep(LARGE_WORK_MS + 500);
                let address = machine.clients();
                let sent = Arc::new(AtomicUsize::new(0));
                let large_bodies: Vec<_> = (0..if has_trouble() { LARGE_BODIES } else { 0 })
                    .map(|_| {
                        let sent = Arc::clone(&sent);
                        thread::spawn(move || large(address, &sent))
                    })
                    .collect();
                let end = Instant::now() + ms(2_500);
                while sent.load(Ordering::Relaxed) < large_bodies.len() && Instant::now() < end {
                    sleep(10);
                }
                record.note(format!(
                    "wave {wave} at {}: {CLIENTS} clients, {AHEAD} requests each, heads of {head_bytes} bytes",
                    machine.name
                ));
                let clients: Vec<_> = (0..CLIENTS)
                    .map(|number| {
                        let prefix = ROUTES[number % ROUTES.len()].prefix;
                        thread::spawn(move || client(address, prefix, head_bytes))
                    })
                    .collect();
                let (mut answers, mut failed) = ([0, 0], 0);
                for client in clients {
                    match client.join() {
                        Ok(Ok([served, refused])) => {
                            answers[0] += served;
                            answers[1] += refused;
                        }
                        _ => failed += 1,
                    }
                }
                for body in large_bodies {
                    record.note(format!("large body: {:?}", body.join().map_err(|_| "panicked")));
                }
                record.note(format!(
                    "wave {wave}: {} answers 200, {} others, {failed} clients without all answers",
                    answers[0], answers[1]
                ));
            }
        }
        done.store(true, Ordering::Relaxed);
        for (number, watcher) in watchers.into_iter().enumerate() {
            ends[number] = watcher.join().unwrap_or(0);
        }
    });
    for (number, machine) in lab.machines[..MACHINES].iter().enumerate() {
        record.say(format!(
            "{}: {} ends, peak of the memory {} MB, limit {} MB",
            machine.name,
            ends[number],
            peaks[number].load(Ordering::Relaxed) / 1_024,
            options.memory_mb
        ));
    }
    let broken = ends.iter().filter(|ends| **ends >= 3).count() >= MACHINES;
    lab.close();
    Ok(!broken)
}

fn main() {
    lab::run_case(case)
}
