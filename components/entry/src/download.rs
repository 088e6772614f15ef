use crate::core::Core;
use crate::fetch::{Response, fetch_response};
use crate::job::Job;
use crate::limits::Direction;
use crate::route::Route;
use crate::trace;
use crate::tracker::RequestGuard;
use bytes::Bytes;
use errors::{Error, Kind};
use futures_util::{StreamExt, stream};
use std::sync::Arc;
use steering::choice::Outcome;
use upstream::{Failure, HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

const RANGE: &str = "range";
const IF_RANGE: &str = "if-range";
const ETAG: &str = "etag";
const CONTENT_RANGE: &str = "content-range";
const CONTENT_LENGTH: &str = "content-length";

/// The most attempts for one download, including those made before its first byte.
const ATTEMPTS_MAX: u32 = 4;

/// The response to an idempotent request; if its connection breaks, the rest is fetched from
/// another upstream.
pub(crate) struct Download {
    core: Arc<Core>,
    job: Job,
    /// The response being read; `None` after its end.
    response: Option<Response>,
    route: Route,
    resumable: Option<Resumable>,
    received: u64,
    ended: bool,
    _guard: RequestGuard,
}

/// The entity tag and length that another upstream must match to send the rest of a response.
struct Resumable {
    etag: HeaderValue,
    length: u64,
}

impl Download {
    pub(crate) fn new(
        core: &Arc<Core>,
        job: Job,
        response: Response,
        route: Route,
        guard: RequestGuard,
    ) -> Download {
        let resumable = resumable(&job, &response.reply);
        Download {
            core: Arc::clone(core),
            job,
            response: Some(response),
            route,
            resumable,
            received: 0,
            ended: false,
            _guard: guard,
        }
    }

    /// The body for the caller, which ends without an error only if it is complete.
    pub(crate) fn stream(self) -> caller::Body {
        Box::pin(stream::unfold(self, |mut download| async move {
            if download.ended {
                return None;
            }
            let result = download.next().await?;
            download.ended = result.is_err();
            Some((result, download))
        }))
    }

    async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        loop {
            match self.next_chunk().await {
                Ok(Some(chunk)) => {
                    self.received += chunk.len() as u64;
                    return Some(Ok(chunk));
                }
                Ok(None) => return None,
                Err(ReadError::TimedOut) => return Some(Err(incomplete())),
                Err(ReadError::Broken(failure)) => match self.resume(failure).await {
                    Ok(()) => continue,
                    Err(error) => return Some(Err(error)),
                },
            }
        }
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, ReadError> {
        let Some(response) = &mut self.response else {
            return Ok(None);
        };
        let timeout = self.job.deadline - self.core.clock.now();
        let next = response.reply.body.next();
        let result = tokio::time::timeout(timeout.duration(), next).await;
        match result.map_err(|_| ReadError::TimedOut)? {
            Some(Ok(chunk)) => {
                let (region, size) = (response.attempt.region, chunk.len() as u64);
                let paced =
                    self.core.pace(region, Direction::Receive, size, self.job.deadline).await;
                paced.map_err(|_| ReadError::TimedOut)?;
                Ok(Some(chunk))
            }
            Some(Err(failure)) => {
                self.finish(Outcome::Broken);
                Err(ReadError::Broken(failure))
            }
            None => {
                self.finish(Outcome::Answered);
                Ok(None)
            }
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        if let Some(response) = self.response.take() {
            response.attempt.finish(outcome);
        }
    }

    async fn resume(&mut self, failure: Failure) -> Result<(), Error> {
        let broken = || Error::new(Kind::UpstreamBroken, failure.to_string());
        let resumable = self.resumable.as_ref().ok_or_else(broken)?;
        if self.route.attempts() >= ATTEMPTS_MAX {
            return Err(broken());
        }
        let extra = resumable.headers(self.received);
        let response = fetch_response(&self.core, &self.job, &mut self.route, extra).await;
        let response = response.map_err(|_| broken())?;
        resumable.verify(&response.reply, self.received)?;
        trace::resumption(&self.job);
        self.response = Some(response);
        Ok(())
    }
}

enum ReadError {
    Broken(Failure),
    TimedOut,
}

impl Resumable {
    fn headers(&self, received: u64) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Ok(range) = HeaderValue::from_str(&format!("bytes={received}-")) {
            headers.insert(HeaderName::from_static(RANGE), range);
        }
        headers.insert(HeaderName::from_static(IF_RANGE), self.etag.clone());
        headers
    }

    fn verify(&self, reply: &upstream::Reply, received: u64) -> Result<(), Error> {
        let expected = format!("bytes {received}-{}/{}", self.length - 1, self.length);
        let matches = reply.status == StatusCode::PARTIAL_CONTENT
            && reply.headers.get(ETAG) == Some(&self.etag)
            && reply.headers.get(CONTENT_RANGE).is_some_and(|range| *range == expected)
            && length(&reply.headers) == Some(self.length - received);
        if matches {
            return Ok(());
        }
        Err(Error::new(Kind::EntityChanged, "the entity changed during the interrupted download"))
    }
}

fn resumable(job: &Job, reply: &upstream::Reply) -> Option<Resumable> {
    let full = job.request.method == Method::GET
        && reply.status == StatusCode::OK
        && !job.request.headers.contains_key(RANGE);
    let etag = reply.headers.get(ETAG)?;
    let strong = etag.as_bytes().starts_with(b"\"");
    let length = length(&reply.headers).filter(|length| *length > 0)?;
    (full && strong).then(|| Resumable { etag: etag.clone(), length })
}

fn length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn incomplete() -> Error {
    Error::new(Kind::DeadlineAfterSend, "the response was incomplete at the deadline")
}
