//! The platform's metadata store: rows that are listed and followed, as PROTOCOL.md has them.

use crate::http::{Connection, response};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug)]
struct Row {
    version: u64,
    /// `None` for a removed row.
    value: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    version: u64,
    rows: BTreeMap<(String, String), Row>,
}

/// The store. What it has written is acknowledged when a call returns.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

impl Store {
    pub fn open() -> (Arc<Store>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the store");
        let address = listener.local_addr().expect("the store's address");
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes a row, or removes it if `value` is `None`.
    pub fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().expect("the store's state");
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.to_owned(), key.to_owned()), Row { version, value });
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.head() {
            let target = head.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
            };
            let table = value("table").unwrap_or_default();
            let number =
                |name: &str| value(name).and_then(|text| text.parse().ok()).unwrap_or(0_u64);
            let (status, body) = match path {
                "/-/rows-get" => (200, self.rows(&table, 0, false).1),
                "/-/rows-feed" => (200, self.feed(&table, number("after"), number("wait_ms"))),
                _ => (404, "{}".to_owned()),
            };
            std::thread::sleep(Duration::from_millis(4));
            let fields = [("Content-Type", "application/json")];
            if connection.send(&response(status, &fields, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn feed(&self, table: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        loop {
            let (count, body) = self.rows(table, after, true);
            let left = until.saturating_duration_since(Instant::now());
            if count > 0 || left.is_zero() {
                return body;
            }
            let state = self.state.lock().expect("the store's state");
            let step = left.min(Duration::from_millis(20));
            drop(self.changed.wait_timeout(state, step).expect("the store's state"));
        }
    }

    /// The number of rows after a version, and the body of the response.
    fn rows(&self, table: &str, after: u64, with_removed: bool) -> (usize, String) {
        let state = self.state.lock().expect("the store's state");
        let mut rows: Vec<(u64, String)> = Vec::new();
        for ((each, key), row) in &state.rows {
            if each != table || row.version <= after || (row.value.is_none() && !with_removed) {
                continue;
            }
            let content = match &row.value {
                Some(value) => format!(r#""value":"{}""#, base64(value.as_bytes())),
                None => r#""deleted":true"#.to_owned(),
            };
            let version = row.version;
            let text = format!(
                r#"{{"table":"{table}","part":"","key":"{key}",{content},"ver":{version}}}"#
            );
            rows.push((version, text));
        }
        if with_removed {
            rows.sort();
        }
        let texts: Vec<&str> = rows.iter().map(|(_, text)| text.as_str()).collect();
        let (version, now) = (state.version, self.started.elapsed().as_millis());
        let body = format!(
            r#"{{"rows":[{}],"truncated":false,"ver":{version},"now":"{now}ms"}}"#,
            texts.join(",")
        );
        (rows.len(), body)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63]);
            text.push(if index <= group.len() { digit } else { '=' });
        }
    }
    text
}
