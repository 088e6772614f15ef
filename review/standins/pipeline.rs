//! Clients that keep their connections and send further requests before the first one is answered.

use crate::deployment::{Deployment, HOST, connect};
use crate::http::{Connection, has_ended};
use crate::record::Record;
use crate::server::Server;
use std::collections::BTreeMap;
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What the clients of a case do.
#[derive(Clone, Copy, Debug)]
pub struct Habit {
    pub clients: usize,
    /// The requests that each client sends at once, again and again.
    pub paths: &'static [&'static str],
    pub time_budget: Duration,
    /// How long the clients begin new requests.
    pub length: Duration,
}

/// Clients at work.
pub struct Pipelines {
    traffic: Arc<Traffic>,
    clients: Vec<JoinHandle<()>>,
}

impl Pipelines {
    /// Starts the clients, each at a machine that the directory names; `None` if it names none.
    pub fn open(deployment: &Deployment, record: &Arc<Record>, habit: Habit) -> Option<Pipelines> {
        let traffic = Arc::new(Traffic {
            record: Arc::clone(record),
            habit,
            end: Instant::now() + habit.length,
            answered: AtomicUsize::new(0),
            unanswered: Mutex::default(),
        });
        let mut clients = Vec::new();
        for number in 0..habit.clients {
            let address = deployment.resolve(number % 2).first()?.clone();
            let traffic = Arc::clone(&traffic);
            clients.push(std::thread::spawn(move || Client { number, address, traffic }.run()));
        }
        Some(Pipelines { traffic, clients })
    }

    /// Waits for the clients. Returns the most requests of one machine that a sound server ran and
    /// whose connection ended without an answer.
    pub fn close<IsSound>(self, deployment: &Deployment, is_sound: IsSound) -> Result<usize, String>
    where
        IsSound: Fn(&Server) -> bool,
    {
        for client in self.clients {
            client.join().map_err(|_| "a client failed")?;
        }
        let Traffic { record, answered, unanswered, .. } = &*self.traffic;
        record.say("answered", &format!("{} requests", answered.load(Ordering::SeqCst)));
        let mut lost: BTreeMap<&str, usize> = BTreeMap::new();
        for (address, id) in unanswered.lock().expect("ids").iter() {
            let mut servers = deployment.servers.iter();
            let server = servers.find(|server| is_sound(server) && server.has_run(id));
            if let Some(server) = server {
                let mut machines = deployment.gateways.iter();
                let machine = machines.find(|machine| machine.callers() == *address);
                let machine = machine.map_or("", |machine| machine.machine.name.as_str());
                *lost.entry(machine).or_default() += 1;
                record.line("lost", &format!("{id} at {machine}, which {} ran", server.plan.id));
            }
        }
        record.say("lost", &format!("{lost:?}"));
        let lost = lost.values().copied().max().unwrap_or(0);
        Ok(lost)
    }
}

/// What all clients share.
struct Traffic {
    record: Arc<Record>,
    habit: Habit,
    end: Instant,
    answered: AtomicUsize,
    /// Machines and ids of requests whose connection, which had carried an answer before, ended without one.
    unanswered: Mutex<Vec<(String, String)>>,
}

struct Client {
    number: usize,
    address: String,
    traffic: Arc<Traffic>,
}

impl Client {
    fn run(&self) {
        let mut requests = 0;
        while Instant::now() < self.traffic.end {
            if let Err(error) = self.use_connection(&mut requests) {
                let text = format!("client {}: {error}", self.number);
                self.traffic.record.line("closed", &text);
            }
        }
    }

    /// Uses one connection until it ends.
    fn use_connection(&self, requests: &mut usize) -> io::Result<()> {
        let mut connection = connect(&self.address)?;
        connection.stream.set_read_timeout(Some(self.traffic.habit.time_budget))?;
        // The connection has carried an answer before, as a kept one.
        let first = self.send(&mut connection, requests, self.traffic.habit.paths[0])?;
        self.receive(&mut connection, &first)?;
        while Instant::now() < self.traffic.end {
            let mut ids = Vec::new();
            for path in self.traffic.habit.paths {
                ids.push(self.send(&mut connection, requests, path)?);
            }
            for (position, id) in ids.iter().enumerate() {
                if let Err(error) = self.receive(&mut connection, id) {
                    // A client's own time-out is no end of the connection.
                    if has_ended(&error) {
                        let mut unanswered = self.traffic.unanswered.lock().expect("ids");
                        let rest = ids[position..].iter().cloned();
                        unanswered.extend(rest.map(|id| (self.address.clone(), id)));
                    }
                    let behind = ids.len() - position - 1;
                    let text = format!("{id}, and {behind} requests behind it have no answer");
                    self.traffic.record.line("cut", &format!("client {} {text}", self.number));
                    return Err(error);
                }
            }
        }
        Ok(())
    }

    fn send(
        &self,
        connection: &mut Connection,
        requests: &mut usize,
        path: &str,
    ) -> io::Result<String> {
        *requests += 1;
        let id = format!("{:04x}{requests:012x}", self.number);
        self.traffic.record.line("sent", &format!("client {} {id} GET {path}", self.number));
        let budget = self.traffic.habit.time_budget.as_millis();
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {budget}\r\n\r\n"
        );
        connection.send(text.as_bytes())?;
        Ok(id)
    }

    /// Reads the whole answer to the request with the given id, whatever its status is.
    fn receive(&self, connection: &mut Connection, id: &str) -> io::Result<()> {
        let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.get("x-request-id") != Some(id) {
            return Err(io::Error::other(format!("another answer: {}", head.start)));
        }
        connection.skip(head.length())?;
        self.traffic.answered.fetch_add(1, Ordering::SeqCst);
        let status = head.status();
        self.traffic.record.line("answered", &format!("client {} {id} {status}", self.number));
        Ok(())
    }
}
