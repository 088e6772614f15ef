//! A server of the platform: runs requests one at a time on a connection, and says who it is.

use crate::http::{Connection, response};
use crate::record::Record;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// What a server is and how it works.
#[derive(Clone, Debug)]
pub struct Plan {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: usize,
    pub work: Duration,
    pub body: usize,
}

/// Which answers of faulty servers are broken off.
#[derive(Debug, Default)]
pub struct Garble {
    answers: AtomicUsize,
}

impl Garble {
    /// Of the answers of all servers that share this, one in so many is broken off.
    const PERIOD: usize = 50;

    fn is_due(&self) -> bool {
        self.answers.fetch_add(1, Ordering::SeqCst) % Garble::PERIOD == Garble::PERIOD - 1
    }
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    pub plan: Plan,
    pub address: SocketAddr,
    /// The start, in Unix milliseconds.
    pub born: u128,
    running: AtomicUsize,
    /// Whether the server leaves, which it says in all its responses.
    pub leaving: AtomicBool,
    /// Whether the server is faulty now.
    pub garble: Mutex<Option<Arc<Garble>>>,
    /// How many times as long work takes now.
    pub slowdown: AtomicU32,
    /// The ids of the requests that ran.
    ran: Mutex<HashSet<String>>,
    record: Arc<Record>,
}

impl Server {
    pub fn open(plan: Plan, record: &Arc<Record>) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for a server");
        let address = listener.local_addr().expect("the server's address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let server = Arc::new(Server {
            plan,
            address,
            born,
            running: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            garble: Mutex::default(),
            slowdown: AtomicU32::new(1),
            ran: Mutex::default(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&server);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&shared);
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Whether a request ran here.
    #[allow(dead_code, reason = "not every case asks for it")]
    pub fn has_run(&self, id: &str) -> bool {
        self.ran.lock().expect("ids").contains(id)
    }

    /// The entry in the store.
    pub fn entry(&self, sequence: u64) -> String {
        let Plan { service, zone, slots, .. } = &self.plan;
        let (address, born) = (self.address, self.born);
        format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","max_concurrency":{slots},"state":"ready","cold_left":"0ms","sequence":{sequence},"born":{born}}}"#
        )
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        // Errors and ends of the connection end the loop: the caller has left.
        while let Ok(Some(head)) = connection.head() {
            if connection.skip(head.length()).is_err() {
                return;
            }
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            let load = format!("{running},0,{}", self.plan.slots);
            let id = head.get("x-request-id").unwrap_or_default().to_owned();
            let mut fields = vec![
                ("X-Request-Id", id.as_str()),
                ("X-Instance-Id", self.plan.id.as_str()),
                ("X-Server-Load", load.as_str()),
                ("Keep-Alive", "timeout=10"),
            ];
            if self.leaving.load(Ordering::SeqCst) {
                fields.push(("Server-Leaving", "1"));
            }
            let mut is_broken_off = false;
            let is_probe = head.target() == "/healthz";
            let expected = head.get("x-target-instance");
            let bytes = if is_probe {
                response(200, &fields, b"")
            } else if expected.is_some_and(|expected| expected != self.plan.id) {
                response(421, &fields, b"")
            } else if running >= self.plan.slots {
                fields.push(("X-Not-Executed", "1"));
                response(503, &fields, b"")
            } else {
                let line = format!("{} {} {} {}", self.plan.id, id, head.method(), head.target());
                self.record.line("run", &line);
                self.ran.lock().expect("ids").insert(id.clone());
                std::thread::sleep(self.plan.work * self.slowdown.load(Ordering::SeqCst));
                let seal = format!("seal.{id}");
                fields.push(("X-Response-Seal", seal.as_str()));
                let text = format!("{id} from {} ", self.plan.id);
                let body: Vec<u8> = text.bytes().cycle().take(self.plan.body).collect();
                let mut bytes = response(200, &fields, &body);
                if head.method() == "HEAD" {
                    // The response to HEAD has the head of the one to GET and no body.
                    bytes.truncate(bytes.len() - body.len());
                }
                let garble = self.garble.lock().expect("the fault").clone();
                is_broken_off = garble.is_some_and(|garble| garble.is_due());
                if is_broken_off {
                    self.record.line("broken", &format!("{} breaks off {id}", self.plan.id));
                    bytes.truncate(bytes.len() - body.len() / 4);
                }
                bytes
            };
            self.running.fetch_sub(1, Ordering::SeqCst);
            if connection.send(&bytes).is_err() || is_broken_off {
                return;
            }
        }
    }
}
