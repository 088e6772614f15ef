use crate::active_attempt::ActiveAttempt;
use crate::attempt::{SendError, send};
use crate::core::Core;
use crate::download::Download;
use crate::job::Job;
use crate::limits::Direction;
use crate::route::Route;
use crate::tracker::RequestGuard;
use crate::{reply, trace};
use caller::{Refusal, Reply};
use clock::Millis;
use errors::{Error, Execution, Kind};
use std::sync::Arc;
use steering::choice::{Outcome, Reason};
use steering::retry;
use upstream::{Failure, HeaderMap};

/// An upstream's response, and its attempt, which counts as in flight until the body has ended.
pub(crate) struct Response {
    pub(crate) reply: upstream::Reply,
    pub(crate) attempt: ActiveAttempt,
}

/// Why no upstream responded.
enum FetchError {
    /// The attempt failed; a retry may be allowed.
    Retryable(Failure),
    /// No retry is allowed.
    Final(Error),
}

/// Serves an idempotent request, with retries and hedges.
pub(crate) async fn fetch(
    core: &Arc<Core>,
    job: Job,
    guard: RequestGuard,
) -> Result<Reply, Refusal> {
    let mut route = Route::admit(core, &job)?;
    if let Some((service, _)) = core.services().get(&job.request.service) {
        service.earn_budget();
    }
    let response = fetch_response(core, &job, &mut route, HeaderMap::new()).await?;
    let status = response.reply.status;
    let headers = reply::headers(&job, response.reply.headers.clone());
    let download = Download::new(core, job, response, route, guard);
    Ok(Reply { status, headers, body: download.stream() })
}

/// Sends the request until an upstream responds or no further attempt is allowed.
pub(crate) async fn fetch_response(
    core: &Arc<Core>,
    job: &Job,
    route: &mut Route,
    extra: HeaderMap,
) -> Result<Response, Error> {
    let mut last = None;
    loop {
        let failure = match send_with_hedge(core, job, route, extra.clone()).await {
            Ok(response) => return Ok(response),
            Err(FetchError::Final(error)) => return Err(prefer_maybe_run(last, error)),
            Err(FetchError::Retryable(failure)) => failure,
        };
        let decision = decide_retry(core, job, route, &failure);
        last = Some(prefer_maybe_run(last, error(failure)));
        if decision != retry::Decision::Retry {
            return Err(last.unwrap_or_else(attempts_exhausted));
        }
        trace::retry(job, "failed");
    }
}

// Sends one attempt and, if there is no response within the hedge delay, a second one to another
// upstream. The first response wins and the other attempt is cancelled.
async fn send_with_hedge(
    core: &Arc<Core>,
    job: &Job,
    route: &mut Route,
    extra: HeaderMap,
) -> Result<Response, FetchError> {
    let attempt = route.next_attempt(core, job).await.map_err(FetchError::Final)?;
    let delay = hedge_delay(core, job, &attempt);
    let first = send_attempt(core, job, attempt, extra.clone());
    tokio::pin!(first);
    let Some(delay) = delay else {
        return first.await;
    };
    tokio::select! {
        biased;
        response = &mut first => return response,
        () = core.clock.sleep(delay) => {}
    }
    let Some(attempt) = start_hedge(core, job, route).await else {
        return first.await;
    };
    let second = send_attempt(core, job, attempt, extra);
    tokio::pin!(second);
    tokio::select! {
        biased;
        response = &mut first => first_success(response, second).await,
        response = &mut second => first_success(response, first).await,
    }
}

// Waits for the other attempt if the first one to end has failed.
async fn first_success<Other>(
    result: Result<Response, FetchError>,
    other: Other,
) -> Result<Response, FetchError>
where
    Other: Future<Output = Result<Response, FetchError>>,
{
    let Err(first) = result else {
        return result;
    };
    other.await.map_err(|second| match (first, second) {
        (FetchError::Retryable(one), FetchError::Retryable(other)) => {
            FetchError::Retryable(prefer_sent(one, other))
        }
        (FetchError::Retryable(one), FetchError::Final(other)) => {
            FetchError::Final(prefer_maybe_run(Some(error(one)), other))
        }
        (FetchError::Final(one), _) => FetchError::Final(one),
    })
}

fn hedge_delay(core: &Core, job: &Job, attempt: &ActiveAttempt) -> Option<Millis> {
    let mut services = core.services();
    let (service, _) = services.get(&job.request.service)?;
    let delay = service.hedge_delay(job.class, job.request.idempotent)?;
    Some(if attempt.reason == Reason::Probe { Millis::ZERO } else { delay })
}

async fn start_hedge(core: &Arc<Core>, job: &Job, route: &mut Route) -> Option<ActiveAttempt> {
    let spent = core.services().get(&job.request.service)?.0.spend_budget();
    if !spent {
        return None;
    }
    let attempt = route.next_attempt(core, job).await.ok()?;
    trace::hedge(job, &attempt.upstream);
    Some(attempt)
}

async fn send_attempt(
    core: &Arc<Core>,
    job: &Job,
    attempt: ActiveAttempt,
    extra: HeaderMap,
) -> Result<Response, FetchError> {
    let size = reply::request_bytes(job);
    let paced = core.pace(attempt.region, Direction::Send, size, job.deadline).await;
    paced.map_err(|_| FetchError::Final(link_full()))?;
    let timeout = job.time_to_send(core.clock.now()).map_err(FetchError::Final)?;
    match send(core, job, &attempt, extra, timeout).await {
        Ok(reply) => {
            observe_latency(core, job, &attempt);
            Ok(Response { reply, attempt })
        }
        Err(SendError::TimedOut) => {
            attempt.finish(Outcome::Broken);
            Err(FetchError::Final(Error::new(Kind::DeadlineAfterSend, "no answer in time")))
        }
        Err(SendError::Failed(failure)) => {
            attempt.finish(attempt_outcome(&failure));
            Err(FetchError::Retryable(failure))
        }
    }
}

fn observe_latency(core: &Core, job: &Job, attempt: &ActiveAttempt) {
    let latency = core.clock.now() - attempt.started_at();
    trace::response(&job.request.service, latency);
    if let Some((service, _)) = core.services().get(&job.request.service) {
        service.observe_latency(latency);
    }
}

fn decide_retry(core: &Core, job: &Job, route: &Route, failure: &Failure) -> retry::Decision {
    let now = core.clock.now();
    let mut services = core.services();
    let Some((service, _)) = services.get(&job.request.service) else {
        return retry::Decision::TooManyAttempts;
    };
    let attempt = retry::Attempt {
        failure: retry_failure(failure),
        idempotent: job.request.idempotent,
        attempts: route.attempts(),
        deadline: job.deadline,
        typical_latency: service.typical_latency(route.region()),
    };
    service.retry(attempt, now)
}

fn retry_failure(failure: &Failure) -> retry::Failure {
    match failure {
        Failure::NotSent { .. } => retry::Failure::NotSent,
        Failure::Broken { .. } => retry::Failure::Broken,
        Failure::Shed { .. } => retry::Failure::Shed,
    }
}

/// The outcome that a failed attempt counts as for its upstream.
pub(crate) fn attempt_outcome(failure: &Failure) -> Outcome {
    match failure {
        Failure::NotSent { .. } | Failure::Shed { .. } => Outcome::Refused,
        Failure::Broken { .. } => Outcome::Broken,
    }
}

/// The error for the caller.
pub(crate) fn error(failure: Failure) -> Error {
    let kind = match failure {
        Failure::NotSent { .. } => Kind::NoUpstream,
        Failure::Broken { .. } => Kind::UpstreamBroken,
        Failure::Shed { .. } => Kind::UpstreamShed,
    };
    Error::new(kind, failure.to_string())
}

fn prefer_sent(one: Failure, other: Failure) -> Failure {
    match one {
        Failure::NotSent { .. } => other,
        _ => one,
    }
}

// Prefers the error of an attempt that may have run: a request that may have run on any attempt is
// never refused as not run.
fn prefer_maybe_run(earlier: Option<Error>, later: Error) -> Error {
    match earlier {
        Some(earlier) if earlier.response().ran != Execution::NotRun => earlier,
        _ => later,
    }
}

fn link_full() -> Error {
    Error::new(Kind::DeadlineBeforeSend, "the link limit is exhausted")
}

fn attempts_exhausted() -> Error {
    Error::new(Kind::UpstreamBroken, "all attempts failed")
}
