use crate::attempt::{Miss, send};
use crate::core::Core;
use crate::download::Download;
use crate::flight::Flight;
use crate::gate::Pass;
use crate::job::Job;
use crate::limits::Way;
use crate::route::Course;
use crate::{reply, trace};
use caller::{Refusal, Reply};
use clock::Millis;
use errors::{Error, Kind, Ran};
use std::sync::Arc;
use steering::choice::{Outcome, Reason};
use steering::retry;
use upstream::{Failure, HeaderMap};

/// An upstream's answer and the flight that keeps counting while its body arrives.
pub(crate) struct Fetched {
    pub(crate) reply: upstream::Reply,
    pub(crate) flight: Flight,
}

/// Why no upstream answered.
enum Ended {
    /// An attempt failed, and another may follow.
    Failed(Failure),
    /// No further attempt may be made.
    Stopped(Error),
}

/// Serves an idempotent request, from another upstream if the first one fails or is late.
pub(crate) async fn fetch(core: &Arc<Core>, job: Job, pass: Pass) -> Result<Reply, Refusal> {
    let mut course = Course::open(core, &job)?;
    if let Some((service, _)) = core.services().get(&job.request.service) {
        service.earn();
    }
    let fetched = attempt(core, &job, &mut course, HeaderMap::new()).await?;
    let status = fetched.reply.status;
    let headers = reply::headers(&job, fetched.reply.headers.clone());
    let download = Download::new(core, job, fetched, course, pass);
    Ok(Reply { status, headers, body: download.stream() })
}

/// Sends the request until an upstream answers or no further attempt may be made.
pub(crate) async fn attempt(
    core: &Arc<Core>,
    job: &Job,
    course: &mut Course,
    extra: HeaderMap,
) -> Result<Fetched, Error> {
    let mut last = None;
    loop {
        let failure = match hedged(core, job, course, extra.clone()).await {
            Ok(fetched) => return Ok(fetched),
            Err(Ended::Stopped(error)) => return Err(worse(last, error)),
            Err(Ended::Failed(failure)) => failure,
        };
        let decision = decide(core, job, course, &failure);
        last = Some(worse(last, error(failure)));
        if decision != retry::Decision::Retry {
            return Err(last.unwrap_or_else(broken));
        }
        trace::retry(job, "failed");
    }
}

// Sends one attempt and, if its answer is late, a second one elsewhere; the loser is cancelled.
async fn hedged(
    core: &Arc<Core>,
    job: &Job,
    course: &mut Course,
    extra: HeaderMap,
) -> Result<Fetched, Ended> {
    let flight = course.next(core, job).await.map_err(Ended::Stopped)?;
    let delay = hedge_delay(core, job, &flight);
    let first = fly(core, job, flight, extra.clone());
    tokio::pin!(first);
    let Some(delay) = delay else {
        return first.await;
    };
    tokio::select! {
        biased;
        fetched = &mut first => return fetched,
        () = core.clock.sleep(delay) => {}
    }
    let Some(flight) = hedge_flight(core, job, course).await else {
        return first.await;
    };
    let second = fly(core, job, flight, extra);
    tokio::pin!(second);
    tokio::select! {
        biased;
        fetched = &mut first => either(fetched, second).await,
        fetched = &mut second => either(fetched, first).await,
    }
}

async fn either<Other>(ended: Result<Fetched, Ended>, other: Other) -> Result<Fetched, Ended>
where
    Other: Future<Output = Result<Fetched, Ended>>,
{
    let Err(first) = ended else {
        return ended;
    };
    other.await.map_err(|second| match (first, second) {
        (Ended::Failed(one), Ended::Failed(other)) => Ended::Failed(graver(one, other)),
        (Ended::Failed(one), Ended::Stopped(other)) => {
            Ended::Stopped(worse(Some(error(one)), other))
        }
        (Ended::Stopped(one), _) => Ended::Stopped(one),
    })
}

fn hedge_delay(core: &Core, job: &Job, flight: &Flight) -> Option<Millis> {
    let mut services = core.services();
    let (service, _) = services.get(&job.request.service)?;
    let delay = service.hedge_delay(job.class, job.request.idempotent)?;
    Some(if flight.reason == Reason::Probe { Millis::ZERO } else { delay })
}

async fn hedge_flight(core: &Arc<Core>, job: &Job, course: &mut Course) -> Option<Flight> {
    let spent = core.services().get(&job.request.service)?.0.spend();
    if !spent {
        return None;
    }
    let flight = course.next(core, job).await.ok()?;
    trace::hedge(job, &flight.upstream);
    Some(flight)
}

async fn fly(
    core: &Arc<Core>,
    job: &Job,
    flight: Flight,
    extra: HeaderMap,
) -> Result<Fetched, Ended> {
    let size = reply::request_size(job);
    let paced = core.pace(flight.region, Way::Send, size, job.deadline).await;
    paced.map_err(|_| Ended::Stopped(unsent()))?;
    let left = job.time_to_send(core.clock.now()).map_err(Ended::Stopped)?;
    match send(core, job, &flight, extra, left).await {
        Ok(reply) => {
            observe_latency(core, job, &flight);
            Ok(Fetched { reply, flight })
        }
        Err(Miss::Late) => {
            flight.end(Outcome::Broken);
            Err(Ended::Stopped(Error::new(Kind::DeadlineAfterSend, "no answer in time")))
        }
        Err(Miss::Failed(failure)) => {
            flight.end(outcome(&failure));
            Err(Ended::Failed(failure))
        }
    }
}

fn observe_latency(core: &Core, job: &Job, flight: &Flight) {
    let span = core.clock.now() - flight.since();
    trace::answered(&job.request.service, span);
    if let Some((service, _)) = core.services().get(&job.request.service) {
        service.observe_latency(span);
    }
}

fn decide(core: &Core, job: &Job, course: &Course, failure: &Failure) -> retry::Decision {
    let now = core.clock.now();
    let mut services = core.services();
    let Some((service, _)) = services.get(&job.request.service) else {
        return retry::Decision::TooManyAttempts;
    };
    let attempt = retry::Attempt {
        failure: kind(failure),
        idempotent: job.request.idempotent,
        attempts: course.attempts(),
        deadline: job.deadline,
        typical_latency: service.usual(course.region()),
    };
    service.retry(attempt, now)
}

fn kind(failure: &Failure) -> retry::Failure {
    match failure {
        Failure::NotSent { .. } => retry::Failure::NotSent,
        Failure::Broken { .. } => retry::Failure::Broken,
        Failure::Shed { .. } => retry::Failure::Shed,
    }
}

/// What a failure tells of the upstream.
pub(crate) fn outcome(failure: &Failure) -> Outcome {
    match failure {
        Failure::NotSent { .. } | Failure::Shed { .. } => Outcome::Refused,
        Failure::Broken { .. } => Outcome::Broken,
    }
}

/// The error that a failure means for the caller.
pub(crate) fn error(failure: Failure) -> Error {
    let kind = match failure {
        Failure::NotSent { .. } => Kind::NoUpstream,
        Failure::Broken { .. } => Kind::UpstreamBroken,
        Failure::Shed { .. } => Kind::UpstreamShed,
    };
    Error::new(kind, failure.to_string())
}

fn graver(one: Failure, other: Failure) -> Failure {
    match one {
        Failure::NotSent { .. } => other,
        _ => one,
    }
}

// A request that may have run on any attempt is never refused as not run.
fn worse(earlier: Option<Error>, later: Error) -> Error {
    match earlier {
        Some(earlier) if earlier.answer().ran != Ran::NotRun => earlier,
        _ => later,
    }
}

fn unsent() -> Error {
    Error::new(Kind::DeadlineBeforeSend, "the link has no room before the deadline")
}

fn broken() -> Error {
    Error::new(Kind::UpstreamBroken, "no attempts left")
}
