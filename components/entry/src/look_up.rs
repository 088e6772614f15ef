use crate::core::Core;
use crate::order::signed_prefix;
use crate::view::View;
use caller::lookup::{Entry, Query, Response};
use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;
use steering::lease::{self, Lease};
use steering::{Lookup, Vm};
use telemetry::{Action, Decision, names};

/// Answers a look-up from the snapshot in force.
pub(crate) fn look_up(core: &Core, query: &Query) -> Result<Response, Error> {
    // The snapshot may still list this VM as live, so look-ups would continue to return it.
    if core.tracker.is_shutting_down() {
        return Err(Error::new(Kind::Leaving, "this VM is shutting down"));
    }
    let view = core.view()?;
    view.service(&query.service)?;
    let now = core.clock.now();
    let renewals = renewals(core, query, now)?;
    let home = view.home(query.block)?;
    let region = core.limits().serving_region(home, query.block)?;
    let found = steering::lookup(&view.index, query.block, &query.service, region, now)?;
    let lease = lease::grant(&view.snapshot().preset, renewals, found.drain_start, now);
    record_decision(&view, query, &found, &lease);
    answer(core, &view, query, &found, &lease)
}

fn renewals(core: &Core, query: &Query, now: Millis) -> Result<u32, Error> {
    let Some(token) = &query.token else {
        return Ok(0);
    };
    let previous = lease::verify(&core.lease_key, query.block, token)?;
    Ok(lease::renewals_after(&previous, now))
}

fn answer(
    core: &Core,
    view: &View,
    query: &Query,
    found: &Lookup,
    lease: &Lease,
) -> Result<Response, Error> {
    let vms = &view.snapshot().vms;
    let selected = found.entries.as_slice().iter().map(|vm| &vms[usize::from(*vm)]);
    let first = selected
        .clone()
        .next()
        .ok_or_else(|| Error::new(Kind::NotReady, "the look-up found no entry VM"))?;
    let entry = |vm: &Vm| Entry { vm: Arc::clone(&vm.name), address: vm.caller };
    Ok(Response {
        entries: selected.map(entry).collect(),
        lease_ms: lease.duration.0,
        token: lease::sign(&core.lease_key, query.block, lease).into(),
        order_prefix: order_prefix(core, first).into(),
        version: view.snapshot().version,
    })
}

// The prefix makes the first entry VM the owner of the caller's orders, so that most of them need
// no relay.
fn order_prefix(core: &Core, first: &Vm) -> String {
    match first.incarnation {
        // The incarnation of the first entry VM is unknown, so this VM becomes the owner.
        0 => signed_prefix(core, &core.settings.vm, core.settings.incarnation),
        incarnation => signed_prefix(core, &first.name, incarnation),
    }
}

fn record_decision(view: &View, query: &Query, found: &Lookup, lease: &Lease) {
    let reason = found.reason.as_str();
    metrics::counter!(names::LOOKUPS, names::REASON => reason).increment(1);
    metrics::histogram!(names::LEASE).record(lease.duration.as_secs_f64());
    let snapshot = view.snapshot();
    let first = found.entries.as_slice().first();
    let choice = first.map_or("", |vm| &*snapshot.vms[usize::from(*vm)].name);
    telemetry::log_decision(&Decision {
        action: Action::Lookup,
        request: "",
        block: Some(query.block),
        service: &query.service,
        choice,
        reason,
        epoch: snapshot.plan.epoch,
        sequence: snapshot.plan.sequence,
        version: snapshot.version,
    });
}
