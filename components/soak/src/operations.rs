//! What operators do during a run, and how the store comes back from an older copy.

use crate::callers::HOST;
use crate::checker::SETTLE_TIME;
use crate::cluster::{Cluster, DOMAINS, Endpoint};
use crate::upstream::DRAIN_BOUND;
use clock::Millis;
use platform_standin::{Mode, Route, configuration_row, upstream_row};

/// Name of the only service.
const SERVICE: &str = "soak";
/// How often upstreams write their rows before a recovery.
const HEARTBEAT: Millis = Millis(300);
/// Time without the store in a recovery from a copy.
pub const RECOVERY_DOWNTIME: Millis = Millis(600);
/// Time after a recovery until everything is written again.
pub const REWRITE_DELAY: Millis = Millis(1_800);

impl Cluster {
    /// Marks an upstream as leaving, and registers it again under a new id when it has left.
    pub async fn replace(&self, endpoint: &Endpoint) {
        if endpoint.is_busy.replace(true) {
            return;
        }
        self.leave(endpoint);
        tokio::time::sleep((DRAIN_BOUND + Millis(1_500)).duration()).await;
        self.renew(endpoint);
        endpoint.is_busy.set(false);
    }

    fn leave(&self, endpoint: &Endpoint) {
        self.register(endpoint, true);
        endpoint.upstream.leaving_since.set(Some(self.checker.now()));
    }

    fn renew(&self, endpoint: &Endpoint) {
        let old_id = endpoint.upstream.id.borrow().clone();
        self.store.put_upstream(&old_id, None);
        let next = self.next_id.get();
        self.next_id.set(next + 1);
        *endpoint.upstream.id.borrow_mut() = format!("u{next}");
        endpoint.upstream.leaving_since.set(None);
        self.register(endpoint, false);
    }

    /// Evacuates a failure domain for `span`.
    pub async fn evacuate(&self, domain: &str, span: Millis) {
        let endpoints = || self.endpoints.iter().filter(|endpoint| endpoint.domain == domain);
        if endpoints().any(|endpoint| endpoint.upstream.evacuated_since.get().is_some()) {
            return;
        }
        self.store.set_evacuated(domain, true);
        let now = self.checker.now();
        endpoints().for_each(|endpoint| endpoint.upstream.evacuated_since.set(Some(now)));
        tokio::time::sleep(span.duration()).await;
        endpoints().for_each(|endpoint| endpoint.upstream.evacuated_since.set(None));
        self.store.set_evacuated(domain, false);
    }

    /// Commits a configuration with the next version.
    pub fn configure(&self) {
        let version = self.workload.configured.get().0 + 1;
        self.workload.configured.set((version, self.checker.now()));
        self.write_configuration();
    }

    /// Writes the current configuration.
    pub fn write_configuration(&self) {
        let version = self.workload.configured.get().0;
        let accounts = self.checker.ledger.borrow().keyring.accounts();
        let row = configuration_row(version, HOST, SERVICE, &routes(version), &accounts);
        self.store.put_configuration(row);
    }

    /// Withdraws a key of an account and gives out another.
    pub fn withdraw(&self, index: usize) {
        self.checker.ledger.borrow_mut().keyring.rotate(index, self.checker.now());
        self.configure();
    }

    /// Lets the store come back from a copy that is `span` old, and writes everything again. An
    /// upstream leaves after the copy was taken, and nothing may be sent to it later on.
    pub async fn recover_store(&self, endpoint: &Endpoint, span: Millis) {
        if self.is_recovering.get() || endpoint.is_busy.replace(true) {
            return;
        }
        self.is_recovering.set(true);
        self.store.copy();
        self.leave(endpoint);
        let lost_until = self.checker.now() + span;
        while self.checker.now() < lost_until {
            // Heartbeats of upstreams, so that many versions are given out again.
            self.register_all();
            tokio::time::sleep(HEARTBEAT.duration()).await;
        }
        self.checker.disturb_until(self.checker.now() + RECOVERY_DOWNTIME + REWRITE_DELAY);
        self.store.set_mode(Mode::Unavailable);
        tokio::time::sleep(RECOVERY_DOWNTIME.duration()).await;
        self.store.recover();
        self.store.set_mode(Mode::Normal);
        tokio::time::sleep(REWRITE_DELAY.duration()).await;
        self.write_all();
        self.is_recovering.set(false);
        tokio::time::sleep(SETTLE_TIME.duration()).await;
        self.configure();
        tokio::time::sleep((DRAIN_BOUND + Millis(1_500)).duration()).await;
        self.renew(endpoint);
        endpoint.is_busy.set(false);
    }

    /// Writes all rows as they are now. Bounds apply anew once the effects of the recovery are over.
    fn write_all(&self) {
        let settled = self.checker.now() + SETTLE_TIME;
        self.write_configuration();
        self.workload.configured.set((self.workload.configured.get().0, settled));
        let ids = self.endpoints.iter().map(|endpoint| endpoint.upstream.id.borrow().clone());
        let ids: Vec<String> = ids.collect();
        let gone = (0..self.next_id.get()).map(|id| format!("u{id}"));
        gone.filter(|id| !ids.contains(id)).for_each(|id| self.store.put_upstream(&id, None));
        self.register_all();
        for endpoint in &self.endpoints {
            let upstream = &endpoint.upstream;
            upstream.leaving_since.set(upstream.leaving_since.get().map(|_| settled));
            upstream.evacuated_since.set(upstream.evacuated_since.get().map(|_| settled));
        }
        for (domain, _) in DOMAINS {
            let is_evacuated = |endpoint: &Endpoint| {
                endpoint.domain == domain && endpoint.upstream.evacuated_since.get().is_some()
            };
            self.store.set_evacuated(domain, self.endpoints.iter().any(is_evacuated));
        }
    }

    fn register_all(&self) {
        for endpoint in &self.endpoints {
            self.register(endpoint, endpoint.upstream.leaving_since.get().is_some());
        }
    }

    /// Writes the row of an upstream.
    pub fn register(&self, endpoint: &Endpoint, leaving: bool) {
        let value = upstream_row(SERVICE, endpoint.address, endpoint.domain, leaving);
        self.store.put_upstream(&endpoint.upstream.id.borrow(), Some(value));
    }
}

/// The routes of all versions, and one that only `version` has.
fn routes(version: u64) -> Vec<Route> {
    let route = |prefix: &str, is_order, is_anonymous| Route {
        prefix: prefix.to_owned(),
        is_order,
        is_anonymous,
    };
    vec![
        route("/read/", false, false),
        route("/order/", true, false),
        route("/open/", false, true),
        route(&format!("/v{version}/"), false, true),
    ]
}
