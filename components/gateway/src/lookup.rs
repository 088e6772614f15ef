//! Look-ups of callers, the readiness check and metrics.

use crate::core::Core;
use crate::reply::{Body, Reply};
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::{Headers, Request};
use std::net::SocketAddr;
use std::rc::Rc;
use steering::entry_selection;
use steering::membership::Member;

/// Lease of a look-up. Callers use a VM that has left for at most this long; half of it would
/// double the number of look-ups.
const LEASE: Millis = Millis(2_000);

/// The entry VMs that a look-up names.
struct Selection {
    addresses: Vec<SocketAddr>,
    /// Ready VMs of the region that this VM knows, including itself.
    ready_in_region: usize,
    /// Ready VMs of all regions that this VM knows, including itself.
    ready: usize,
}

/// Handles a look-up.
pub fn look_up(core: &Core, request: &Request) -> Reply {
    if request.path() != core.protocol.names().lookup_path {
        return Reply::failure(Kind::UnknownRoute, None);
    }
    let query = core.protocol.parse_lookup(request.query());
    let settings = core.settings();
    let region = entry_selection::caller_region(
        &settings.regions,
        query.region.as_deref(),
        query.domain.as_deref(),
        &settings.region,
    );
    if !core.has_converged() {
        log_refusal(
            core,
            &region,
            "look-up refused: this VM has started and doesn't know the others",
        );
        return Reply::failure(Kind::NotReady, None);
    }
    let selection = select_vms(core, &region);
    if selection.addresses.is_empty() {
        log_refusal(core, &region, "look-up refused: no ready entry VM is known");
        return Reply::failure(Kind::NotReady, None);
    }
    let lease = LEASE.min(settings.bounds.lease_max);
    log_answer(core, &region, &selection, lease);
    metrics::counter!(telemetry::names::LOOKUPS).increment(1);
    let mut headers = Headers::default();
    headers.push("Content-Type", "application/json");
    let body = core.protocol.lookup_response(&selection.addresses, lease);
    Reply { status: 200, headers, body: Body::Full(body) }
}

/// Logs an answer to a look-up, unless too many lines of requests were logged within the second.
fn log_answer(core: &Core, region: &str, selection: &Selection, lease: Millis) {
    if telemetry::admit_line() == telemetry::Admission::Suppressed {
        return;
    }
    let Selection { addresses, ready_in_region, ready } = selection;
    log::info!(
        target: "lookup", region = region, vms = addresses.len(), lease_ms = lease.0,
        vm_ready = core.is_ready(), up_ms = (core.clock.now() - core.started).0,
        ready_in_region = ready_in_region, ready = ready, elsewhere = *ready_in_region == 0;
        "look-up answered"
    );
}

/// Logs a refused look-up, unless too many lines of requests were logged within the second.
fn log_refusal(core: &Core, region: &str, message: &str) {
    if telemetry::admit_line() == telemetry::Admission::Suppressed {
        return;
    }
    log::info!(
        target: "lookup", region = region, vm_ready = core.is_ready(),
        up_ms = (core.clock.now() - core.started).0, known = core.live_count() - 1;
        "{message}"
    );
}

/// Selects ready entry VMs in `region`, or in the other regions if it has none.
fn select_vms(core: &Core, region: &str) -> Selection {
    let (settings, now) = (core.settings(), core.clock.now());
    let members = core.members.borrow();
    let own = core.own_member.borrow();
    let own = Some(&*own).filter(|_| core.is_ready());
    let mut ready: Vec<&Member> = members.alive(now).filter(|member| member.ready).collect();
    // Others may know the keys in force if this VM doesn't.
    if ready.is_empty() || core.serves_keys() {
        ready.extend(own);
    }
    let selected = entry_selection::select_for(&settings.vm, region, &ready, &settings.regions);
    let mut addresses: Vec<SocketAddr> = selected.vms.iter().map(|member| member.callers).collect();
    addresses.sort_unstable();
    Selection { addresses, ready_in_region: selected.ready_in_region, ready: ready.len() }
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
