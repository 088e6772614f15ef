//! Look-ups of callers, the readiness check and metrics.

use crate::core::Core;
use crate::reply::{Body, Reply};
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::{Headers, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use steering::entry_selection;
use steering::membership::Member;

/// Lease of a look-up. Callers use a VM that has left for at most this long; half of it would
/// double the number of look-ups.
const LEASE: Millis = Millis(2_000);
/// Limit of entry VMs in one response.
const MAX_ADDRESSES: usize = 64;

/// Handles a look-up.
pub fn look_up(core: &Core, request: &Request) -> Reply {
    if request.path() != core.protocol.names().lookup_path {
        return Reply::failure(Kind::UnknownRoute, None);
    }
    let query = core.protocol.parse_lookup(request.query());
    let settings = core.settings();
    let region = query.region.unwrap_or_else(|| Arc::clone(&settings.region));
    let addresses = select_vms(core, &region);
    if addresses.is_empty() {
        return Reply::failure(Kind::NotReady, None);
    }
    let lease = LEASE.min(settings.bounds.lease_max);
    metrics::counter!(telemetry::names::LOOKUPS).increment(1);
    if telemetry::admit_line() != telemetry::Admission::Suppressed {
        log::info!(
            target: "lookup", region = region.as_ref(), vms = addresses.len(), lease_ms = lease.0;
            "look-up answered"
        );
    }
    let mut headers = Headers::default();
    headers.push("Content-Type", "application/json");
    let body = core.protocol.lookup_response(&addresses, lease);
    Reply { status: 200, headers, body: Body::Full(body) }
}

/// Addresses of ready entry VMs in `region`, or in all regions if it has none.
fn select_vms(core: &Core, region: &str) -> Vec<SocketAddr> {
    let now = core.clock.now();
    let regions = &core.settings().regions;
    let members = core.members.borrow();
    let own = core.own_member.borrow();
    let own = Some(&*own).filter(|_| core.is_ready());
    let ready: Vec<&Member> = members.alive(now).filter(|member| member.ready).chain(own).collect();
    let is_in_region =
        |member: &&Member| regions.get(&member.domain).is_some_and(|each| **each == *region);
    let in_region: Vec<&Member> = ready.iter().copied().filter(is_in_region).collect();
    let selected = entry_selection::select(if in_region.is_empty() { &ready } else { &in_region });
    let mut addresses: Vec<SocketAddr> = selected.iter().map(|member| member.callers).collect();
    addresses.sort_unstable();
    addresses.truncate(MAX_ADDRESSES);
    addresses
}

/// Handles the readiness check.
pub fn readiness(core: &Rc<Core>, request: &Request) -> Reply {
    let is_known = request.path() == core.protocol.names().readiness_path;
    if !is_known || !core.is_ready() {
        return Reply::failure(Kind::NotReady, None);
    }
    Reply { status: 200, headers: Headers::default(), body: Body::Full(Bytes::new()) }
}

/// Handles a scrape of the metrics.
pub fn metrics() -> Reply {
    let mut headers = Headers::default();
    headers.push("Content-Type", "text/plain; version=0.0.4");
    Reply { status: 200, headers, body: Body::Full(telemetry::render().into()) }
}
