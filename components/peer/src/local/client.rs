use crate::Failure;
use crate::http::{Key, Target, post};
use crate::local::server::PATH;
use crate::local::{LONG_POLL_TIMEOUT, MAX_SNAPSHOT, Report, Stamp, StampedSnapshot};
use clock::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::Snapshot;

/// Allows 2 s for the response beyond the time for which `controld` keeps a poll open.
const RESPONSE_TIMEOUT: Millis = Millis(LONG_POLL_TIMEOUT.0 + 2000);

/// Fetches snapshots for an `entryd`.
pub struct Client {
    http: reqwest::Client,
    key: Key,
    own: SocketAddr,
    peers: Vec<SocketAddr>,
    held: Option<Arc<Snapshot>>,
    stamp: Option<Stamp>,
}

impl Client {
    /// A client of this VM's `controld` at `own`.
    ///
    /// Until there is a first snapshot, it polls the `controld` of each of `peers` when the one at
    /// `own` fails.
    pub fn new(key: Key, own: SocketAddr, peers: Vec<SocketAddr>) -> Client {
        let http = reqwest::Client::new();
        Client { http, key, own, peers, held: None, stamp: None }
    }

    /// Sends `report` and waits at most [`LONG_POLL_TIMEOUT`] for a new snapshot; `None` if there
    /// is none.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no `controld` responds; the last snapshot stays valid.
    pub async fn next(&mut self, mut report: Report) -> Result<Option<Arc<Snapshot>>, Failure> {
        report.stamp = self.stamp;
        let response = match self.poll(self.own, &report).await {
            Err(failure) if self.held.is_none() => self.poll_peers(&report, failure).await?,
            response => response?,
        };
        Ok(response.map(|stamped| self.hold(stamped)))
    }

    async fn poll_peers(
        &self,
        report: &Report,
        mut failure: Failure,
    ) -> Result<Option<StampedSnapshot>, Failure> {
        for to in &self.peers {
            match self.poll(*to, report).await {
                Ok(Some(stamped)) => return Ok(Some(stamped)),
                Ok(None) => {}
                Err(other) => failure = other,
            }
        }
        Err(failure)
    }

    async fn poll(
        &self,
        to: SocketAddr,
        report: &Report,
    ) -> Result<Option<StampedSnapshot>, Failure> {
        let target = Target {
            to,
            path: PATH,
            key: &self.key,
            timeout: RESPONSE_TIMEOUT,
            limit: MAX_SNAPSHOT,
        };
        post(&self.http, target, report).await
    }

    fn hold(&mut self, stamped: StampedSnapshot) -> Arc<Snapshot> {
        self.stamp = Some(stamped.stamp);
        let snapshot = match &self.held {
            Some(held) => Arc::new(merge(held, &stamped.snapshot)),
            None => stamped.snapshot,
        };
        self.held = Some(Arc::clone(&snapshot));
        snapshot
    }
}

/// Merges two snapshots: takes the newer configuration and the newer plan of the two, and the rest
/// from `new`.
///
/// So neither the version nor the plan ever decreases here, even if the `controld` that responds
/// has restarted among stale peers.
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
