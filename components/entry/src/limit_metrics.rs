//! Metrics of requests in flight and of this VM's limits.

use crate::core::Core;
use crate::view::View;
use std::sync::Arc;
use steering::share::{self, Configuration};
use telemetry::names;

const REQUESTS: &str = "requests";
const MOVED_REQUESTS: &str = "moved_requests";
const SENT_KBIT: &str = "sent_kbit";
const RECEIVED_KBIT: &str = "received_kbit";

/// Sets the gauges of requests in flight and of all limits in force.
pub(crate) fn record(core: &Core, view: &View) {
    metrics::gauge!(names::IN_FLIGHT).set(core.tracker.in_flight() as f64);
    record_limits(core, view);
}

/// Counts a request that was admitted into a region.
pub(crate) fn count_admitted(view: &View, region: u16) {
    let region = region_name(view, region);
    metrics::counter!(names::LIMIT_USED, names::LIMIT_KIND => REQUESTS, names::DESTINATION => region)
        .increment(1);
}

fn record_limits(core: &Core, view: &View) {
    let snapshot = view.snapshot();
    let configuration = Configuration {
        deployment: &snapshot.deployment,
        preset: &snapshot.preset,
        drains: &snapshot.drains,
    };
    let own_region = steering::region_of(&snapshot.deployment, &core.settings.domain);
    let own_region = own_region.map_or("", |region| &*region.name);
    let limits = share::limits(
        &snapshot.plan,
        configuration,
        &core.settings.vm,
        own_region,
        core.clock.now(),
    );
    let names = view.index.regions();
    for (region, limit) in names.iter().zip(&limits.regions) {
        set_limit(region, REQUESTS, limit.requests);
        set_limit(region, MOVED_REQUESTS, limit.shift);
    }
    for (region, limit) in names.iter().zip(&limits.links) {
        set_limit(region, SENT_KBIT, limit.send_kbit);
        set_limit(region, RECEIVED_KBIT, limit.receive_kbit);
    }
}

/// Sets the gauge of one limit; no limit, as for traffic within the region, is `+Inf`.
fn set_limit(region: &Arc<str>, kind: &'static str, limit: u32) {
    let region = region.to_string();
    let limit = if limit == u32::MAX { f64::INFINITY } else { f64::from(limit) };
    metrics::gauge!(names::LIMIT, names::LIMIT_KIND => kind, names::DESTINATION => region)
        .set(limit);
}

fn region_name(view: &View, region: u16) -> String {
    view.index.regions().get(usize::from(region)).map(|name| name.to_string()).unwrap_or_default()
}
