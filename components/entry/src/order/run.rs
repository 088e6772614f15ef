use super::body::{Writer, channel};
use super::claim::Verdict;
use super::ledger::{Phase, Record, Slot};
use super::outcome::{Answer, Digest, Outcome};
use super::start::Refused;
use crate::attempt::{Miss, send};
use crate::core::Core;
use crate::fetch::{error, outcome};
use crate::flight::Flight;
use crate::gate::Pass;
use crate::job::Job;
use crate::limits::Way;
use crate::route::Course;
use crate::{reply, trace};
use bytes::Bytes;
use caller::Reply;
use errors::{Error, Kind};
use futures_util::{StreamExt, stream};
use std::sync::Arc;
use steering::choice;
use tokio::sync::{OwnedMutexGuard, oneshot};
use upstream::{Failure, HeaderMap};

/// Attempts for one order; a further one is made only if the former provably wasn't sent.
const ATTEMPTS_MAX: u32 = 3;

/// An order in a task of its own.
pub(crate) struct Running {
    pub(crate) core: Arc<Core>,
    pub(crate) job: Job,
    pub(crate) id: Arc<str>,
    /// Whether the id names this incarnation as its home, so that no claim is needed.
    pub(crate) homed: bool,
    pub(crate) slot: Arc<Slot>,
    pub(crate) pass: Pass,
}

type Head = oneshot::Sender<Result<Reply, Refused>>;
type Held = OwnedMutexGuard<Record>;

/// Runs an order and tells `head` the answer or the refusal.
pub(crate) async fn run(running: Running, head: Head) {
    match running.begin().await {
        Ok(Begun::Known(outcome)) => {
            let _ = head.send(replay(&running.job, outcome));
        }
        Ok(Begun::Answered(answered)) => running.pump(answered, head).await,
        Err(refused) => {
            let _ = head.send(Err(refused));
        }
    }
    drop(running.pass);
}

enum Begun {
    Known(Outcome),
    Answered(Answered),
}

struct Answered {
    reply: upstream::Reply,
    flight: Flight,
    held: Held,
}

impl Running {
    async fn begin(&self) -> Result<Begun, Refused> {
        let mut held = self.lock().await?;
        match &held.phase {
            Phase::Ended(outcome) => return Ok(Begun::Known(outcome.clone())),
            Phase::Sent => return Err(unknown("it was sent before").into()),
            Phase::Unsent => {}
        }
        if self.core.gate.is_leaving() {
            return Err(Error::new(Kind::Leaving, "this VM is shutting down").into());
        }
        // Admitted first, so that an order refused for a limit leaves no claim behind.
        let course = Course::open(&self.core, &self.job)?;
        if !self.homed {
            self.claim(&held).await?;
        }
        let (reply, flight) = self.send(&mut held, course).await?;
        Ok(Begun::Answered(Answered { reply, flight, held }))
    }

    // Waits for an earlier copy of the order, which tells this one how it ended.
    async fn lock(&self) -> Result<Held, Error> {
        let left = self.job.deadline - self.core.clock.now();
        let locking = Arc::clone(&self.slot).lock_owned();
        let late = |_| Error::new(Kind::DeadlineAfterSend, "an earlier copy is still under way");
        tokio::time::timeout(left.duration(), locking).await.map_err(late)
    }

    async fn claim(&self, record: &Record) -> Result<(), Refused> {
        let left = self.job.time_to_send(self.core.clock.now())?;
        let claiming = self.core.claimer.claim(&self.id, record.trail.clone());
        let late = |_| Error::new(Kind::DeadlineBeforeSend, "the claim took too long");
        match tokio::time::timeout(left.duration(), claiming).await.map_err(late)? {
            Verdict::Ours => Ok(()),
            Verdict::Theirs(owner) => Err(Refused::Elsewhere(owner)),
            Verdict::Unsettled(context) => Err(Error::new(Kind::PlatformDown, context).into()),
        }
    }

    async fn send(
        &self,
        record: &mut Record,
        mut course: Course,
    ) -> Result<(upstream::Reply, Flight), Error> {
        loop {
            let flight = course.next(&self.core, &self.job).await?;
            let size = reply::request_size(&self.job);
            let paced = self.core.pace(flight.region, Way::Send, size, self.job.deadline).await;
            paced.map_err(|_| Error::new(Kind::DeadlineBeforeSend, "the link has no room"))?;
            let left = self.job.time_to_send(self.core.clock.now())?;
            record.phase = Phase::Sent;
            let error = match send(&self.core, &self.job, &flight, HeaderMap::new(), left).await {
                Ok(reply) => return Ok((reply, flight)),
                Err(Miss::Failed(failure @ Failure::NotSent { .. })) => {
                    record.phase = Phase::Unsent;
                    flight.end(outcome(&failure));
                    if course.attempts() < ATTEMPTS_MAX {
                        trace::retry(&self.job, "not_sent");
                        continue;
                    }
                    return Err(error(failure));
                }
                Err(miss) => failed(miss, flight),
            };
            record.phase = Phase::Ended(Outcome::Unknown(error.clone()));
            return Err(error);
        }
    }

    // Passes the answer on and goes on reading it when the caller has gone, for a repeat.
    async fn pump(&self, answered: Answered, head: Head) {
        let Answered { mut reply, flight, mut held } = answered;
        let (mut writer, body) = channel(self.core.clock, self.job.deadline);
        let headers = reply::headers(&self.job, reply.headers.clone());
        let _ = head.send(Ok(Reply { status: reply.status, headers, body }));
        let outcome = self.read(&mut reply, &mut writer, flight.region).await;
        let complete = !matches!(outcome, Outcome::Unknown(_));
        flight.end(if complete { choice::Outcome::Answered } else { choice::Outcome::Broken });
        held.phase = Phase::Ended(outcome.clone());
        drop(held);
        match outcome {
            Outcome::Unknown(error) => writer.fail(error).await,
            Outcome::Kept(_) | Outcome::Ran(_) => writer.end().await,
        }
    }

    async fn read(&self, reply: &mut upstream::Reply, writer: &mut Writer, region: u16) -> Outcome {
        let mut copy = Copy::new(self.core.settings.response_bytes_max);
        loop {
            match self.next_chunk(reply).await {
                Ok(Some(chunk)) => {
                    self.pace(region, &chunk).await;
                    copy.add(&chunk);
                    writer.write(chunk).await;
                }
                Ok(None) => return copy.finish(reply),
                Err(error) => return Outcome::Unknown(error),
            }
        }
    }

    // Past the deadline the bytes have come over the link all the same.
    async fn pace(&self, region: u16, chunk: &Bytes) {
        let size = chunk.len() as u64;
        let _ = self.core.pace(region, Way::Receive, size, self.job.deadline).await;
    }

    async fn next_chunk(&self, reply: &mut upstream::Reply) -> Result<Option<Bytes>, Error> {
        let left = self.job.deadline - self.core.clock.now();
        match tokio::time::timeout(left.duration(), reply.body.next()).await {
            Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
            Ok(Some(Err(failure))) => Err(Error::new(Kind::UpstreamBroken, failure.to_string())),
            Ok(None) => Ok(None),
            Err(_) => Err(Error::new(Kind::DeadlineAfterSend, "the answer wasn't complete")),
        }
    }
}

/// What is kept of an answer while it passes.
struct Copy {
    body: Option<Vec<u8>>,
    max: usize,
    size: u64,
    hasher: blake3::Hasher,
}

impl Copy {
    fn new(max: usize) -> Copy {
        Copy { body: Some(Vec::new()), max, size: 0, hasher: blake3::Hasher::new() }
    }

    fn add(&mut self, chunk: &Bytes) {
        self.size += chunk.len() as u64;
        self.hasher.update(chunk);
        match &mut self.body {
            Some(body) if body.len() + chunk.len() <= self.max => body.extend_from_slice(chunk),
            _ => self.body = None,
        }
    }

    fn finish(self, reply: &upstream::Reply) -> Outcome {
        let status = reply.status;
        match self.body {
            Some(body) => {
                let headers = reply.headers.clone();
                Outcome::Kept(Answer { status, headers, body: body.into() })
            }
            None => Outcome::Ran(Digest { status, size: self.size, hash: self.hasher.finalize() }),
        }
    }
}

fn replay(job: &Job, outcome: Outcome) -> Result<Reply, Refused> {
    match outcome {
        Outcome::Kept(answer) => {
            let headers = reply::headers(job, answer.headers);
            let body = Box::pin(stream::iter([Ok(answer.body)]));
            Ok(Reply { status: answer.status, headers, body })
        }
        Outcome::Ran(digest) => Err(already_ran(&digest).into()),
        Outcome::Unknown(error) => Err(error.into()),
    }
}

fn already_ran(digest: &Digest) -> Error {
    let Digest { status, size, hash } = digest;
    let context = format!("it ran: status {status}, {size} bytes, digest {}", hash.to_hex());
    Error::new(Kind::AlreadyRan, context)
}

fn failed(miss: Miss, flight: Flight) -> Error {
    match miss {
        Miss::Late => {
            flight.end(choice::Outcome::Broken);
            Error::new(Kind::DeadlineAfterSend, "no answer before the deadline")
        }
        Miss::Failed(failure) => {
            flight.end(outcome(&failure));
            error(failure)
        }
    }
}

fn unknown(context: &str) -> Error {
    Error::new(Kind::OutcomeUnknown, context)
}
