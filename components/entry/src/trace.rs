//! What is logged and counted of each request.

use crate::core::Core;
use crate::flight::Chosen;
use crate::job::Job;
use clock::Millis;
use errors::Error;
use telemetry::{Action, Decision, names};

/// Logs the choice of an upstream.
pub(crate) fn route(job: &Job, chosen: &Chosen) {
    decide(job, Action::Route, &chosen.upstream, chosen.reason.as_str());
}

/// Logs that a request is sent again.
pub(crate) fn retry(job: &Job, reason: &str) {
    count(names::RETRIES, job);
    decide(job, Action::Retry, "another upstream", reason);
}

/// Logs that a second copy is sent.
pub(crate) fn hedge(job: &Job, upstream: &str) {
    count(names::HEDGES, job);
    decide(job, Action::Hedge, upstream, "late");
}

/// Counts a download that went on from another upstream.
pub(crate) fn resumption(job: &Job) {
    count(names::RESUMPTIONS, job);
}

/// Logs where an order runs, or why it doesn't.
pub(crate) fn order(job: &Job, choice: &str, reason: &'static str) {
    metrics::counter!(names::ORDERS, names::OUTCOME => reason).increment(1);
    decide(job, Action::Order, choice, reason);
}

/// Counts an answer and how long its head took.
pub(crate) fn answered(service: &str, span: Millis) {
    let service = service.to_string();
    metrics::counter!(names::REQUESTS, names::SERVICE => service.clone(), names::OUTCOME => "answered")
        .increment(1);
    metrics::histogram!(names::LATENCY, names::SERVICE => service).record(span.as_secs_f64());
}

/// Logs and counts a refusal; `id` is empty for a look-up.
pub(crate) fn refused(core: &Core, id: &str, block: u32, service: &str, error: &Error) {
    let kind = error.kind.as_str();
    metrics::counter!(names::REFUSALS, names::KIND => kind).increment(1);
    let view = core.view.load();
    let snapshot = view.as_ref().map(|view| view.snapshot());
    telemetry::decide(&Decision {
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

fn decide(job: &Job, action: Action, choice: &str, reason: &str) {
    let snapshot = job.view.snapshot();
    telemetry::decide(&Decision {
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
