use crate::core::Core;
use crate::fetch::{Fetched, attempt};
use crate::gate::Pass;
use crate::job::Job;
use crate::limits::Way;
use crate::route::Course;
use crate::trace;
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

/// Attempts for one answer, those of its first bytes included.
const ATTEMPTS_MAX: u32 = 4;

/// An idempotent answer on its way to the caller, which goes on from another upstream if it breaks.
pub(crate) struct Download {
    core: Arc<Core>,
    job: Job,
    /// The answer that arrives; none once it has ended.
    fetched: Option<Fetched>,
    course: Course,
    resumable: Option<Resumable>,
    received: u64,
    over: bool,
    _pass: Pass,
}

/// What must be the same for the rest of an answer to come from another upstream.
struct Resumable {
    tag: HeaderValue,
    length: u64,
}

impl Download {
    pub(crate) fn new(
        core: &Arc<Core>,
        job: Job,
        fetched: Fetched,
        course: Course,
        pass: Pass,
    ) -> Download {
        let resumable = resumable(&job, &fetched.reply);
        Download {
            core: Arc::clone(core),
            job,
            fetched: Some(fetched),
            course,
            resumable,
            received: 0,
            over: false,
            _pass: pass,
        }
    }

    /// The caller's body: it ends cleanly only after the whole answer.
    pub(crate) fn stream(self) -> caller::Body {
        Box::pin(stream::unfold(self, |mut download| async move {
            if download.over {
                return None;
            }
            let item = download.next().await?;
            download.over = item.is_err();
            Some((item, download))
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
                Err(Cut::Late) => return Some(Err(late())),
                Err(Cut::Broken(failure)) => match self.resume(failure).await {
                    Ok(()) => continue,
                    Err(error) => return Some(Err(error)),
                },
            }
        }
    }

    async fn next_chunk(&mut self) -> Result<Option<Bytes>, Cut> {
        let Some(fetched) = &mut self.fetched else {
            return Ok(None);
        };
        let left = self.job.deadline - self.core.clock.now();
        let waiting = fetched.reply.body.next();
        let item = tokio::time::timeout(left.duration(), waiting).await;
        match item.map_err(|_| Cut::Late)? {
            Some(Ok(chunk)) => {
                let (region, size) = (fetched.flight.region, chunk.len() as u64);
                let paced = self.core.pace(region, Way::Receive, size, self.job.deadline).await;
                paced.map_err(|_| Cut::Late)?;
                Ok(Some(chunk))
            }
            Some(Err(failure)) => {
                self.end(Outcome::Broken);
                Err(Cut::Broken(failure))
            }
            None => {
                self.end(Outcome::Answered);
                Ok(None)
            }
        }
    }

    fn end(&mut self, outcome: Outcome) {
        if let Some(fetched) = self.fetched.take() {
            fetched.flight.end(outcome);
        }
    }

    async fn resume(&mut self, failure: Failure) -> Result<(), Error> {
        let broken = || Error::new(Kind::UpstreamBroken, failure.to_string());
        let resumable = self.resumable.as_ref().ok_or_else(broken)?;
        if self.course.attempts() >= ATTEMPTS_MAX {
            return Err(broken());
        }
        let extra = resumable.headers(self.received);
        let fetched = attempt(&self.core, &self.job, &mut self.course, extra).await;
        let fetched = fetched.map_err(|_| broken())?;
        resumable.check(&fetched.reply, self.received)?;
        trace::resumption(&self.job);
        self.fetched = Some(fetched);
        Ok(())
    }
}

enum Cut {
    Broken(Failure),
    Late,
}

impl Resumable {
    fn headers(&self, received: u64) -> HeaderMap {
        let mut headers = HeaderMap::new();
        if let Ok(range) = HeaderValue::from_str(&format!("bytes={received}-")) {
            headers.insert(HeaderName::from_static(RANGE), range);
        }
        headers.insert(HeaderName::from_static(IF_RANGE), self.tag.clone());
        headers
    }

    fn check(&self, reply: &upstream::Reply, received: u64) -> Result<(), Error> {
        let expected = format!("bytes {received}-{}/{}", self.length - 1, self.length);
        let same = reply.status == StatusCode::PARTIAL_CONTENT
            && reply.headers.get(ETAG) == Some(&self.tag)
            && reply.headers.get(CONTENT_RANGE).is_some_and(|range| *range == expected)
            && length(&reply.headers) == Some(self.length - received);
        if same {
            return Ok(());
        }
        Err(Error::new(Kind::EntityChanged, "the entity changed while its download was broken"))
    }
}

fn resumable(job: &Job, reply: &upstream::Reply) -> Option<Resumable> {
    let whole = job.request.method == Method::GET
        && reply.status == StatusCode::OK
        && !job.request.headers.contains_key(RANGE);
    let tag = reply.headers.get(ETAG)?;
    let strong = tag.as_bytes().starts_with(b"\"");
    let length = length(&reply.headers).filter(|length| *length > 0)?;
    (whole && strong).then(|| Resumable { tag: tag.clone(), length })
}

fn length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn late() -> Error {
    Error::new(Kind::DeadlineAfterSend, "the answer wasn't complete before the deadline")
}
