//! Checks the health of upstreams while the store confirms nothing to any VM.
//!
//! The upstreams of an evacuated failure domain may turn cold shortly before the evacuation ends. VMs
//! that can't hear of the evacuation send them their usual requests, so one VM asks each upstream and
//! tells the others. See docs/DATAPATH.md, "Cold upstreams".

use crate::Settings;
use crate::connection::Connection;
use crate::connector::{self, open};
use crate::core::Core;
use crate::endpoint::Endpoint;
use crate::identity;
use crate::memory::{Hold, Purpose};
use clock::Millis;
use rand::seq::SliceRandom;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use steering::catalogue::Feed;
use steering::membership::Member;
use steering::routing::{MAX_COLD_SPAN, Upstream};
use steering::warmup;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Age of the operators' rows from which upstreams are checked: evacuations that began later aren't
/// known.
const VIEW_AGE: Millis = Millis(2_000);
/// Time between two checks of an upstream.
const INTERVAL: Millis = Millis(400);
/// The longest time for a check, beyond the network latency.
const TIMEOUT: Millis = Millis(500);
/// Upstreams that a VM checks in one [`INTERVAL`]; a VM that hears no other would check them all.
const MAX_CHECKS: usize = 24;
/// Upstreams that one heartbeat tells of.
const MAX_TOLD: usize = 150;

/// Upstreams that were found to be cold, by [`key`], with the end of their cold time.
pub type ColdUpstreams = HashMap<u64, Millis>;

/// Identifies an incarnation of an upstream in heartbeats.
pub fn key(upstream: &Upstream) -> u64 {
    xxh3_64_with_seed(upstream.id.as_bytes(), upstream.incarnation)
}

/// Checks upstreams whenever this VM's copy of the operators' rows is old, until the process ends.
pub async fn watch(core: Rc<Core>) {
    loop {
        core.clock.sleep(INTERVAL).await;
        let is_old = core.confirmed_age(Feed::Operators).is_some_and(|age| age >= VIEW_AGE);
        if !is_old || core.is_stopping() {
            continue;
        }
        for (endpoint, path) in due(&core) {
            let core = Rc::clone(&core);
            tokio::task::spawn_local(async move { check(&core, &endpoint, &path).await });
        }
    }
}

/// The upstreams that this VM checks now, with the paths of their health checks.
fn due(core: &Core) -> Vec<(Rc<Endpoint>, Arc<str>)> {
    let (now, table, upstreams) = (core.clock.now(), core.table(), core.upstreams.borrow());
    let (settings, members) = (core.settings(), core.members.borrow());
    let candidates = Candidates::new(&settings, members.alive(now));
    let mut due = Vec::new();
    for endpoint in upstreams.all() {
        let Some(service) = table.service(&endpoint.entry.service) else { continue };
        let is_due = service.cold_rate > 0.0
            && !endpoint.is_cold(now)
            && !endpoint.is_replaced()
            && !endpoint.statement.is_leaving()
            && candidates.is_checker(endpoint);
        if is_due {
            due.push((Rc::clone(endpoint), Arc::clone(&service.health_path)));
        }
    }
    if due.len() > MAX_CHECKS {
        due.shuffle(&mut rand::rng());
        due.truncate(MAX_CHECKS);
    }
    due
}

/// The VMs from which the checkers of a region's upstreams are drawn.
struct Candidates<'a> {
    own: &'a str,
    own_region: &'a str,
    /// The other live VMs by region.
    others: HashMap<&'a str, Vec<&'a str>>,
}

impl<'a> Candidates<'a> {
    fn new(settings: &'a Settings, alive: impl Iterator<Item = &'a Member>) -> Candidates<'a> {
        let mut others: HashMap<&str, Vec<&str>> = HashMap::new();
        for member in alive {
            if let Some(region) = settings.regions.get(&member.domain) {
                others.entry(region).or_default().push(&member.vm);
            }
        }
        Candidates { own: &settings.vm, own_region: &settings.region, others }
    }

    /// Whether this VM checks the upstream: of the live VMs of its region, or of all if there are none,
    /// the first by rendezvous.
    fn is_checker(&self, endpoint: &Endpoint) -> bool {
        let region = endpoint.region.as_deref().unwrap_or_default();
        let id = &endpoint.entry.id;
        if region != self.own_region && !self.others.contains_key(region) {
            return warmup::is_checker(id, self.own, self.others.values().flatten().copied());
        }
        let local = self.others.get(region).into_iter().flatten().copied();
        region == self.own_region && warmup::is_checker(id, self.own, local)
    }
}

/// Asks an upstream for its health, and tells the other VMs if it is cold.
async fn check(core: &Rc<Core>, endpoint: &Rc<Endpoint>, path: &str) {
    let latency = core
        .upstreams
        .borrow()
        .network_latency(&core.settings().region, endpoint.region.as_deref());
    let deadline = core.clock.now() + TIMEOUT + latency;
    let _in_flight = endpoint.begin_request(0);
    let Some(mut connection) = open(core, endpoint, b"", deadline).await else { return };
    let remaining = deadline - core.clock.now();
    let asked =
        tokio::time::timeout(remaining.duration(), ask(core, endpoint, path, &mut connection));
    if asked.await == Ok(true) {
        connector::keep(core, endpoint, connection, None);
    }
}

/// Asks on a connection; returns whether that can be used again.
async fn ask(
    core: &Rc<Core>,
    endpoint: &Endpoint,
    path: &str,
    connection: &mut Connection,
) -> bool {
    let registration = core.memory.register();
    let limit = core.settings().memory_bytes;
    let hold = Hold::new(&core.memory, &registration.owner, Purpose::Response, core.clock, limit);
    let Some((response, _reading)) = identity::ask(core, &hold, path, endpoint, connection).await
    else {
        return false;
    };
    let id = response.headers.text(core.protocol.names().instance);
    if id.is_none_or(|id| *id != *endpoint.entry.id) {
        return false;
    }
    if record(core, endpoint, &response) {
        core.state_changed.notify_one();
    }
    identity::finish(&response, connection).await
}

/// Records what a health response says of the upstream's cold time. Returns whether it is news.
pub fn record(core: &Core, endpoint: &Endpoint, response: &http1::Response) -> bool {
    let text = response.headers.text(core.protocol.names().cold);
    let left = text.and_then(|text| core.protocol.parse_cold(text)).unwrap_or_default();
    let now = core.clock.now();
    if left == Millis::ZERO || left > MAX_COLD_SPAN || endpoint.is_cold(now) {
        return false;
    }
    log::info!(
        target: "belief", upstream = endpoint.entry.id.as_ref(), cold_ms = left.0;
        "upstream states that it is cold; sending it few requests"
    );
    endpoint.mark_cold(now + left);
    core.cold_upstreams.borrow_mut().insert(key(&endpoint.entry), now + left);
    core.has_cold_news.set(true);
    true
}

/// The upstreams that this VM knows to be cold by health checks, with the time left in milliseconds.
pub fn told(core: &Core) -> Vec<(u64, u64)> {
    let now = core.clock.now();
    let mut cold = core.cold_upstreams.borrow_mut();
    cold.retain(|_, until| now < *until);
    cold.iter().take(MAX_TOLD).map(|(key, until)| (*key, (*until - now).0)).collect()
}

/// Records the upstreams that a peer knows to be cold.
pub fn learn(core: &Core, told: &[(u64, u64)]) {
    if told.is_empty() {
        return;
    }
    let now = core.clock.now();
    let told: HashMap<u64, u64> = told.iter().copied().collect();
    let upstreams = core.upstreams.borrow();
    let mut cold = core.cold_upstreams.borrow_mut();
    for endpoint in upstreams.all() {
        let key = key(&endpoint.entry);
        let left = told.get(&key).map(|left| Millis(*left)).filter(|left| *left <= MAX_COLD_SPAN);
        if let Some(left) = left
            && !endpoint.is_cold(now)
        {
            endpoint.mark_cold(now + left);
            cold.insert(key, now + left);
        }
    }
}
