//! Idle connections to one upstream.

use crate::connection::Connection;
use clock::Millis;
use std::cell::RefCell;

/// Idle connections kept; further ones are closed when their request ends.
const MAX_IDLE: usize = 16;
/// Time before the end of the upstream's idle timeout at which a connection is no longer reused: a
/// request that crosses the upstream's close may have been executed. It covers 1 s of rounding, as
/// the timeout is given in whole seconds, and 0.5 s of network latency.
const REUSE_MARGIN: Millis = Millis(1_500);
/// The least part of the idle timeout during which a connection is reused.
const MIN_REUSE_PART: f64 = 0.5;
/// How long a connection is reused when the upstream announces no idle timeout.
const DEFAULT_REUSE: Millis = Millis(2_000);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    reuse_until: Millis,
}

/// The idle connections, most recently used last.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Vec<Idle>,
}

impl Pool {
    /// Takes the most recently used connection for a request with the id `id`, after dropping
    /// expired ones.
    pub fn take(&mut self, id: &[u8], now: Millis) -> Option<Connection> {
        self.idle.retain(|idle| now < idle.reuse_until);
        let position = self.idle.iter().rposition(|idle| idle.connection.ids.allows(id))?;
        Some(self.idle.remove(position).connection)
    }

    /// Closes expired connections, those that the upstream closed, and those on which it sent
    /// something: no request is in flight, so that it can't be a response.
    pub async fn close_unusable(pool: &RefCell<Pool>, now: Millis) {
        let idle = std::mem::take(&mut pool.borrow_mut().idle);
        let mut usable = Vec::with_capacity(idle.len());
        for mut each in idle {
            if now < each.reuse_until && each.connection.reader.is_reusable().await {
                usable.push(each);
            }
        }
        let mut pool = pool.borrow_mut();
        usable.append(&mut pool.idle);
        pool.idle = usable;
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Keeps a connection for reuse; `idle_timeout` is the one that the upstream announced.
    pub fn keep(&mut self, connection: Connection, idle_timeout: Option<Millis>, now: Millis) {
        let span = idle_timeout.map_or(DEFAULT_REUSE, |timeout| {
            let part = Millis((timeout.0 as f64 * MIN_REUSE_PART) as u64);
            part.max(timeout - REUSE_MARGIN)
        });
        if self.idle.len() < MAX_IDLE && !connection.reader.has_bytes() {
            self.idle.push(Idle { connection, reuse_until: now + span });
        }
    }
}
