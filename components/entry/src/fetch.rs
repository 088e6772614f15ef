use crate::attempt::{Flight, Miss, send};
use crate::core::Core;
use crate::download::Download;
use crate::gate::Pass;
use crate::job::Job;
use crate::reply;
use caller::{Refusal, Reply};
use errors::{Error, Kind};
use std::sync::Arc;
use upstream::{Failure, HeaderMap};

/// Attempts for one idempotent request, the first included.
const ATTEMPTS_MAX: usize = 3;

/// An upstream's answer and the flight that keeps counting while its body arrives.
pub(crate) struct Fetched {
    pub(crate) reply: upstream::Reply,
    pub(crate) flight: Flight,
}

/// Serves an idempotent request, from another upstream if the first one fails.
pub(crate) async fn fetch(core: &Arc<Core>, job: Job, pass: Pass) -> Result<Reply, Refusal> {
    let mut tried = Vec::new();
    let fetched = attempt(core, &job, &mut tried, HeaderMap::new()).await?;
    let status = fetched.reply.status;
    let headers = reply::headers(&job, fetched.reply.headers.clone());
    let download = Download::new(core, job, fetched, tried, pass);
    Ok(Reply { status, headers, body: download.stream() })
}

/// Sends the request until an upstream answers, the attempts are used up or the deadline passes.
pub(crate) async fn attempt(
    core: &Arc<Core>,
    job: &Job,
    tried: &mut Vec<Arc<str>>,
    extra: HeaderMap,
) -> Result<Fetched, Error> {
    let mut last = None;
    while tried.len() < ATTEMPTS_MAX {
        match attempt_once(core, job, tried, extra.clone()).await {
            Ok(fetched) => return Ok(fetched),
            Err(Ended::Stopped(error)) => return Err(worse(last, error)),
            Err(Ended::Retryable(error)) => last = Some(worse(last, error)),
        }
    }
    Err(last.unwrap_or_else(|| Error::new(Kind::UpstreamBroken, "no attempts left")))
}

enum Ended {
    Retryable(Error),
    Stopped(Error),
}

async fn attempt_once(
    core: &Arc<Core>,
    job: &Job,
    tried: &mut Vec<Arc<str>>,
    extra: HeaderMap,
) -> Result<Fetched, Ended> {
    let left = job.time_to_send(core.clock.now()).map_err(Ended::Stopped)?;
    let choice = core.choose(job, tried).map_err(Ended::Stopped)?;
    tried.push(Arc::clone(&choice.upstream));
    let flight = Flight::begin(core, choice);
    match send(core, job, &flight, extra, left).await {
        Ok(reply) => Ok(Fetched { reply, flight }),
        Err(Miss::Late) => {
            let late = Error::new(Kind::DeadlineAfterSend, "no answer before the deadline");
            Err(Ended::Stopped(late))
        }
        Err(Miss::Failed(failure)) => Err(Ended::Retryable(error(failure))),
    }
}

fn error(failure: Failure) -> Error {
    let kind = match failure {
        Failure::NotSent { .. } => Kind::NoUpstream,
        Failure::Broken { .. } => Kind::UpstreamBroken,
        Failure::Shed { .. } => Kind::UpstreamShed,
    };
    Error::new(kind, failure.to_string())
}

// A request that may have run on any attempt is never refused as not run.
fn worse(earlier: Option<Error>, later: Error) -> Error {
    match earlier {
        Some(earlier) if earlier.answer().ran != errors::Ran::NotRun => earlier,
        _ => later,
    }
}
