//! Look-ups of callers, and the readiness check.

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

/// How long an answer counts. Callers stay with a VM that left for at most this long; a shorter
/// time would double the look-ups.
const LEASE: Millis = Millis(2_000);
/// The most entry VMs of one answer.
const ADDRESSES: usize = 64;

/// Answers a look-up.
pub fn look_up(core: &Core, request: &Request) -> Reply {
    if request.path() != core.protocol.names().lookup_path {
        return Reply::failure(Kind::UnknownRoute, None);
    }
    let query = core.protocol.parse_lookup(request.query());
    let settings = core.settings();
    let region = query.region.unwrap_or_else(|| Arc::clone(&settings.region));
    let addresses = name_vms(core, &region);
    if addresses.is_empty() {
        return Reply::failure(Kind::NotReady, None);
    }
    let lease = LEASE.min(settings.bounds.lease_max);
    metrics::counter!(telemetry::names::LOOKUPS).increment(1);
    if telemetry::admit() != telemetry::Admission::Suppressed {
        log::info!(
            target: "lookup", region = region.as_ref(), vms = addresses.len(), lease_ms = lease.0;
            "look-up"
        );
    }
    let mut headers = Headers::default();
    headers.push("Content-Type", "application/json");
    let body = core.protocol.lookup_response(&addresses, lease);
    Reply { status: 200, headers, body: Body::Whole(body) }
}

/// Ready VMs of the caller's region, or of all regions if it has none.
fn name_vms(core: &Core, region: &str) -> Vec<SocketAddr> {
    let now = core.clock.now();
    let regions = &core.settings().regions;
    let members = core.members.borrow();
    let own = core.member.borrow();
    let own = Some(&*own).filter(|_| core.is_ready());
    let ready: Vec<&Member> = members.alive(now).filter(|member| member.ready).chain(own).collect();
    let is_near =
        |member: &&Member| regions.get(&member.domain).is_some_and(|each| **each == *region);
    let near: Vec<&Member> = ready.iter().copied().filter(is_near).collect();
    let named = entry_selection::select(if near.is_empty() { &ready } else { &near });
    let mut addresses: Vec<SocketAddr> = named.iter().map(|member| member.callers).collect();
    addresses.sort_unstable();
    addresses.truncate(ADDRESSES);
    addresses
}

/// Answers the readiness check.
pub fn readiness(core: &Rc<Core>, request: &Request) -> Reply {
    let known = request.path() == core.protocol.names().readiness_path;
    if !known || !core.is_ready() {
        return Reply::failure(Kind::NotReady, None);
    }
    Reply { status: 200, headers: Headers::default(), body: Body::Whole(Bytes::new()) }
}

/// Answers a scrape of the metrics.
pub fn metrics() -> Reply {
    let mut headers = Headers::default();
    headers.push("Content-Type", "text/plain; version=0.0.4");
    Reply { status: 200, headers, body: Body::Whole(telemetry::render().into()) }
}
