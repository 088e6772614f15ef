//! Log lines and metrics of requests and of changes to the known state.
//!
//! docs/OPERATIONS.md shows how to get from a request's id to the cause of its failure.

use crate::caps::Refusal;
use crate::endpoint::Endpoint;
use crate::origin::Origin;
use clock::Millis;
use errors::Kind;
use std::sync::Arc;
use steering::account::Account;
use steering::balance::Assignment;
use steering::catalogue::{Batch, Event, Position};
use steering::fairness::Standing;
use steering::shedding::Rate;
use telemetry::{Admission, Labels, names};

/// Malformed entries of one batch that get a line of their own.
const MAX_MALFORMED_LINES: usize = 10;

/// The log record of a completed request.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord<'a> {
    /// Id of the caller's attempt, or empty.
    pub request: &'a str,
    /// Affinity key, or empty.
    pub object: &'a str,
    /// Name of the route, or empty if none matched.
    pub route: &'a str,
    /// Name of the service, or empty if none was chosen.
    pub service: &'a str,
    /// The regions that may get the request, or empty if all may.
    pub regions: &'a str,
    /// Id of the last upstream chosen, or empty.
    pub upstream: &'a str,
    /// Its region, or empty if it is unknown.
    pub upstream_region: &'a str,
    /// Why that upstream was chosen, or the last failure.
    pub reason: &'a str,
    /// Name of the client account that sent it, or empty.
    pub account: &'a Arc<str>,
    /// Its priority.
    pub priority: u32,
    /// Status code of the response.
    pub status: u16,
    /// Attempts in which the request was sent.
    pub attempts: u32,
    /// Time from the arrival until the response could begin.
    pub took: Millis,
    /// The caller's deadline, relative to the arrival.
    pub budget: Millis,
    /// Version of the configuration that was used, or 0.
    pub version: u64,
    /// Time since the copy of the upstreams was confirmed to be up to date; `None` if it never was.
    pub age: Option<Millis>,
    /// The same for the copy of the operators' rows, with the configuration.
    pub configuration_age: Option<Millis>,
}

/// Logs and counts a completed request.
pub fn request_completed(record: &RequestRecord<'_>) {
    let outcome = if record.status < 400 { "answered" } else { "failed" };
    let service = record.service.to_owned();
    metrics::counter!(names::REQUESTS, names::SERVICE => service.clone(), names::OUTCOME => outcome)
        .increment(1);
    metrics::histogram!(names::LATENCY, names::SERVICE => service)
        .record(record.took.as_secs_f64());
    if telemetry::admit_line() != Admission::Suppressed {
        let text =
            |age: Option<Millis>| age.map_or_else(|| "never".to_owned(), |age| age.0.to_string());
        let (age, configuration_age) = (text(record.age), text(record.configuration_age));
        log::info!(
            target: "request",
            request = record.request,
            object = record.object,
            route = record.route,
            service = record.service,
            regions = record.regions,
            upstream = record.upstream,
            upstream_region = record.upstream_region,
            account = record.account.as_ref(),
            priority = record.priority,
            reason = record.reason,
            status = record.status,
            attempts = record.attempts,
            took_ms = record.took.0,
            budget_ms = record.budget.0,
            version = record.version,
            configuration_age_ms = configuration_age.as_str(),
            age_ms = age.as_str();
            "request"
        );
    }
}

/// Counts a request of a client account.
pub fn account_request(labels: &mut Labels, account: &Arc<str>, status: u16) {
    let outcome = match status {
        ..=399 => "answered",
        401 | 429 | 503 => "refused",
        _ => "failed",
    };
    let account = labels.of(account);
    metrics::counter!(
        names::ACCOUNT_REQUESTS, names::ACCOUNT => account.to_string(), names::OUTCOME => outcome
    )
    .increment(1);
}

/// The choice of an upstream for a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRecord<'a> {
    /// The service.
    pub service: &'a str,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// Name of the client account, or empty.
    pub account: &'a str,
    /// How the account stands in the service.
    pub standing: Standing,
    /// The part of an upstream's queue that the request might join, 0 to 1.
    pub room: f64,
    /// Why an upstream was chosen, or the time after which the refused request may return.
    pub outcome: Result<&'a str, Millis>,
    /// Whether it is in this VM's failure domain, region or elsewhere; empty without one.
    pub distance: &'static str,
}

/// Counts the choice of an upstream, and logs the refusal of a request.
pub fn request_placed(record: &PlacementRecord<'_>) {
    let service = record.service.to_owned();
    let reason = record.outcome.unwrap_or("full").to_owned();
    metrics::counter!(
        names::PLACEMENTS, names::SERVICE => service.clone(), names::REASON => reason,
        names::DISTANCE => record.distance
    )
    .increment(1);
    metrics::histogram!(names::ROOM, names::SERVICE => service.clone()).record(record.room);
    if !record.account.is_empty() {
        let (standing, outcome) =
            (record.standing.as_str(), if record.outcome.is_ok() { "placed" } else { "refused" });
        metrics::counter!(
            names::STANDINGS, names::SERVICE => service.clone(), names::STANDING => standing,
            names::OUTCOME => outcome
        )
        .increment(1);
    }
    if let Standing::Over { part } = record.standing {
        metrics::histogram!(names::SHARE, names::SERVICE => service).record(part);
    }
    let Err(retry_after) = record.outcome else { return };
    metrics::histogram!(names::RETRY_AFTER, names::SERVICE => record.service.to_owned())
        .record(retry_after.as_secs_f64());
    if telemetry::admit_line() != Admission::Suppressed {
        log::info!(
            target: "placement", service = record.service, priority = record.priority,
            account = record.account, standing = record.standing.as_str(), room = record.room,
            retry_after_ms = retry_after.0;
            "no upstream has room for the request"
        );
    }
}

/// Logs and counts how the objects of a service that are assigned to a region are spread over its
/// upstreams.
pub fn objects_assigned(service: &str, region: &str, assignment: &Assignment) {
    let Assignment { objects, upstreams, most, moved } = *assignment;
    let ratio = most as f64 * upstreams as f64 / objects.max(1) as f64;
    metrics::histogram!(names::OBJECTS, names::SERVICE => service.to_owned()).record(ratio);
    if telemetry::admit_line() != Admission::Suppressed {
        log::info!(
            target: "placement", service = service, region = region, objects = objects,
            upstreams = upstreams, most = most, moved = moved;
            "objects assigned to upstreams"
        );
    }
}

/// Logs and counts a failed attempt.
pub fn attempt_failed(request: &str, upstream: &str, reason: &str, took: Millis) {
    metrics::counter!(names::ATTEMPTS_FAILED, names::REASON => reason.to_owned()).increment(1);
    if telemetry::admit_line() != Admission::Suppressed {
        log::info!(
            target: "attempt", request = request, upstream = upstream, reason = reason,
            took_ms = took.0;
            "attempt failed"
        );
    }
}

/// Records the part of a service's requests that upstreams with free slots shed.
pub fn shedding_recorded(service: &str, rate: &Rate, now: Millis) {
    metrics::histogram!(names::SHED, names::SERVICE => service.to_owned()).record(rate.part(now));
}

/// Logs that upstreams of a service begin to shed requests alike, or no longer do.
pub fn shedding_changed(service: &str, rate: &Rate, now: Millis) {
    let text = match rate.is_common(now) {
        true => "the service's upstreams shed requests alike; trying the same ones again",
        false => "the service's upstreams no longer shed requests alike",
    };
    log::info!(
        target: "belief", service = service, part = rate.part(now),
        failures = rate.ejection_failures(now);
        "{text}"
    );
}

/// Logs that another upstream has the address of `endpoint`; `connection` is whether the connection
/// was new or kept.
pub fn upstream_replaced(request: &str, endpoint: &Endpoint, connection: &str) {
    let address = endpoint.entry.address.to_string();
    log::info!(
        target: "attempt", request = request, upstream = endpoint.entry.id.as_ref(),
        region = endpoint.region.as_deref().unwrap_or_default(), address = address.as_str(),
        connection = connection;
        "another upstream answers at the address; sending no more requests there"
    );
}

/// Logs a batch of changes before it is applied; `known` is the position up to which this VM knows
/// the feed. Long polls that ended without a change are left out.
pub fn batch_received(batch: &Batch, known: Position, origin: &Origin) {
    let peer = match origin {
        Origin::Store if !batch.full && batch.changes.is_empty() => return,
        Origin::Store => "",
        Origin::Peer(peer) => peer.as_ref(),
    };
    log::info!(
        target: "changes", feed = batch.feed.as_str(), from = origin.as_str(), peer = peer,
        full = batch.full, known = known.revision, revision = batch.revision,
        known_era = known.era, era = batch.era, rows = batch.changes.len();
        "changes received"
    );
}

/// Logs changes to configuration, evacuations and upstreams; `from` is their source.
pub fn catalogue_events(events: &[Event], from: &str) {
    let malformed = events.iter().filter(|event| matches!(event, Event::Unreadable { .. })).count();
    let mut malformed_lines = 0;
    for event in events {
        match event {
            Event::Configured { version, routes, regions_changed } => {
                metrics::gauge!(names::VERSION).set(*version as f64);
                log::info!(
                    target: "belief", version = *version, routes = *routes,
                    regions_changed = *regions_changed, from = from;
                    "configuration in force"
                );
            }
            Event::Evacuated(domain) => {
                log::info!(
                    target: "belief", domain = domain.as_ref(), from = from;
                    "failure domain evacuated"
                );
            }
            Event::Restored(domain) => {
                log::info!(
                    target: "belief", domain = domain.as_ref(), from = from;
                    "failure domain restored"
                );
            }
            Event::Joined(id) => {
                log::info!(
                    target: "belief", upstream = id.as_ref(), from = from;
                    "upstream joined"
                );
            }
            Event::Leaving(id) => {
                log::info!(
                    target: "belief", upstream = id.as_ref(), from = from;
                    "upstream leaving"
                );
            }
            Event::Left(id) => {
                log::info!(
                    target: "belief", upstream = id.as_ref(), from = from;
                    "upstream removed"
                );
            }
            Event::Lapsed { id, until } => log::info!(
                target: "belief", upstream = id.as_ref(), until_ms = until.0, from = from;
                "upstream's entry vanished around a store outage; keeping it until it expires"
            ),
            Event::Recovered { feed, era, kept } => {
                metrics::counter!(names::ERAS, names::FEED => feed.as_str()).increment(1);
                log::warn!(
                    target: "belief", feed = feed.as_str(), era = *era, kept = *kept, from = from;
                    "the store came back from an older copy; its rows replace the known ones"
                );
            }
            Event::Unreadable { .. } if malformed_lines == MAX_MALFORMED_LINES => {}
            Event::Unreadable { key, reason, was_used } => {
                malformed_lines += 1;
                let text = match was_used {
                    true => "upstream's entry became malformed; sending no more requests to it",
                    false => "malformed entry in the store; not using it",
                };
                log::warn!(
                    target: "belief", key = key.as_ref(), reason = reason.as_ref(), from = from;
                    "{text}"
                );
            }
        }
    }
    if malformed > malformed_lines {
        log::warn!(
            target: "belief", count = malformed - malformed_lines, from = from;
            "more malformed entries in the store; not using them"
        );
    }
}

/// Logs and counts a request that was refused as the cap of its account is reached, or may be. `share` is this
/// VM's part of the cap in millionths, of the coordinator with `epoch`.
pub fn cap_refused(account: &Account, share: u32, epoch: u64, refusal: Refusal) {
    let Refusal { kind, pause } = refusal;
    metrics::counter!(names::REFUSALS, names::KIND => kind.as_str()).increment(1);
    if telemetry::admit_line() != Admission::Suppressed {
        log::info!(
            target: "caps", account = account.name.as_ref(), rate = account.rate,
            burst = account.burst, share = share, epoch = epoch, retry_after_ms = pause.0;
            "{}; request refused",
            if kind == Kind::CapExceeded { "usage cap reached" } else { "usage cap not known yet" }
        );
    }
}
