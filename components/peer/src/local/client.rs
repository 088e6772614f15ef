use crate::Failure;

use crate::http::{Key, Target, post};
use crate::local::server::PATH;
use crate::local::{LONG_POLL_TIMEOUT, MAX_SNAPSHOT, Report, Stamp, StampedSnapshot};
use clock::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::Snapshot;

const TIMEOUT: Millis = Millis(LONG_POLL_TIMEOUT.0 + 2000);

/// Fetches snapshots for an `entryd`.
pub struct Client {
    http: reqwest::Client,
    key: Key,
    own: SocketAddr,
    neighbours: Vec<SocketAddr>,
    held: Option<Arc<Snapshot>>,
    stamp: Option<Stamp>,
}

impl Client {
    /// A client of the `controld` at `own`, and of `neighbours` while that one is dead and no
    /// snapshot is held.
    pub fn new(key: Key, own: SocketAddr, neighbours: Vec<SocketAddr>) -> Client {
        let http = reqwest::Client::new();
        Client { http, key, own, neighbours, held: None, stamp: None }
    }

    /// Hands in `report` and waits at most [`LONG_POLL_TIMEOUT`] for a snapshot that is new.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no `controld` answers; what is held stays good.
    pub async fn next(&mut self, mut report: Report) -> Result<Option<Arc<Snapshot>>, Failure> {
        report.stamp = self.stamp;
        let answer = match self.ask(self.own, &report).await {
            Err(failure) if self.held.is_none() => self.ask_neighbours(&report, failure).await?,
            answer => answer?,
        };
        Ok(answer.map(|stamped| self.take(stamped)))
    }

    async fn ask_neighbours(
        &self,
        report: &Report,
        mut failure: Failure,
    ) -> Result<Option<StampedSnapshot>, Failure> {
        for to in &self.neighbours {
            match self.ask(*to, report).await {
                Ok(Some(stamped)) => return Ok(Some(stamped)),
                Ok(None) => {}
                Err(other) => failure = other,
            }
        }
        Err(failure)
    }

    async fn ask(
        &self,
        to: SocketAddr,
        report: &Report,
    ) -> Result<Option<StampedSnapshot>, Failure> {
        let target =
            Target { to, path: PATH, key: &self.key, timeout: TIMEOUT, limit: MAX_SNAPSHOT };
        post(&self.http, target, report).await
    }

    fn take(&mut self, stamped: StampedSnapshot) -> Arc<Snapshot> {
        self.stamp = Some(stamped.stamp);
        let snapshot = match &self.held {
            Some(held) => Arc::new(merge(held, &stamped.snapshot)),
            None => stamped.snapshot,
        };
        self.held = Some(Arc::clone(&snapshot));
        snapshot
    }
}

/// Takes the newer part of each, so that neither the version nor the plan ever falls here, even
/// if the `controld` that answers has restarted among stale peers.
pub fn merge(held: &Snapshot, new: &Snapshot) -> Snapshot {
    let mut merged = new.clone();
    if new.version < held.version {
        merged.version = held.version;
        merged.digest = Arc::clone(&held.digest);
        merged.deployment = Arc::clone(&held.deployment);
        merged.preset = held.preset.clone();
        merged.drains = held.drains.clone();
    }
    if (new.plan.epoch, new.plan.sequence) < (held.plan.epoch, held.plan.sequence) {
        merged.plan = held.plan.clone();
    }
    merged
}
