//! Decision log and counters of requests.

use crate::active_attempt::Target;
use crate::core::Core;
use crate::job::Job;
use clock::Millis;
use errors::Error;
use telemetry::{Action, Decision, names};

/// Logs the choice of an upstream.
pub(crate) fn route(job: &Job, target: &Target) {
    log_decision(job, Action::Route, &target.upstream, target.reason.as_str());
}

/// Logs and counts a retry at another upstream.
pub(crate) fn retry(job: &Job, reason: &str) {
    count(names::RETRIES, job);
    log_decision(job, Action::Retry, "another upstream", reason);
}

/// Logs and counts a hedge.
pub(crate) fn hedge(job: &Job, upstream: &str) {
    count(names::HEDGES, job);
    log_decision(job, Action::Hedge, upstream, "late");
}

/// Counts a download that was resumed from another upstream.
pub(crate) fn resumption(job: &Job) {
    count(names::RESUMPTIONS, job);
}

/// Logs and counts the decision about an order.
pub(crate) fn order(job: &Job, choice: &str, reason: &'static str) {
    metrics::counter!(names::ORDERS, names::OUTCOME => reason).increment(1);
    log_decision(job, Action::Order, choice, reason);
}

/// Counts a response and records the latency of its head.
pub(crate) fn response(service: &str, latency: Millis) {
    let service = service.to_string();
    metrics::counter!(names::REQUESTS, names::SERVICE => service.clone(), names::OUTCOME => "answered")
        .increment(1);
    metrics::histogram!(names::LATENCY, names::SERVICE => service).record(latency.as_secs_f64());
}

/// Logs and counts a refusal; `id` is empty for a look-up.
pub(crate) fn refused(core: &Core, id: &str, block: u32, service: &str, error: &Error) {
    let kind = error.kind.as_str();
    metrics::counter!(names::REFUSALS, names::KIND => kind).increment(1);
    let view = core.view.load();
    let snapshot = view.as_ref().map(|view| view.snapshot());
    telemetry::log_decision(&Decision {
        action: Action::Refuse,
        request: id,
        block: Some(block),
        service,
        choice: kind,
        reason: &error.context,
        epoch: snapshot.map_or(0, |snapshot| snapshot.plan.epoch),
        sequence: snapshot.map_or(0, |snapshot| snapshot.plan.sequence),
        version: snapshot.map_or(0, |snapshot| snapshot.version),
    });
}

fn count(name: &'static str, job: &Job) {
    metrics::counter!(name, names::SERVICE => job.request.service.to_string()).increment(1);
}

fn log_decision(job: &Job, action: Action, choice: &str, reason: &str) {
    let snapshot = job.view.snapshot();
    telemetry::log_decision(&Decision {
        action,
        request: &job.id,
        block: Some(job.request.block),
        service: &job.request.service,
        choice,
        reason,
        epoch: snapshot.plan.epoch,
        sequence: snapshot.plan.sequence,
        version: snapshot.version,
    });
}
