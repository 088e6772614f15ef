use super::body::{Writer, channel};
use super::claim::Holder;
use super::ledger::{Phase, Record, SharedRecord};
use super::outcome::{Outcome, ResponseDigest, StoredResponse};
use super::start::RunError;
use crate::active_attempt::ActiveAttempt;
use crate::attempt::{SendError, send};
use crate::core::Core;
use crate::fetch::{attempt_outcome, error};
use crate::job::Job;
use crate::limits::Direction;
use crate::route::Route;
use crate::tracker::RequestGuard;
use crate::{reply, trace};
use bytes::Bytes;
use caller::Reply;
use errors::{Error, Kind};
use futures_util::{StreamExt, stream};
use std::sync::Arc;
use steering::choice;
use tokio::sync::{OwnedMutexGuard, oneshot};
use upstream::{Failure, HeaderMap};

/// The most attempts for one order; a retry follows only an attempt that was provably not sent.
const ATTEMPTS_MAX: u32 = 3;

/// An order and what its task needs to run it.
pub(crate) struct Task {
    pub(crate) core: Arc<Core>,
    pub(crate) job: Job,
    pub(crate) id: Arc<str>,
    /// Whether the id names this incarnation as the owner, so that no claim is needed.
    pub(crate) owned: bool,
    pub(crate) record: Arc<SharedRecord>,
    pub(crate) guard: RequestGuard,
}

type ReplySender = oneshot::Sender<Result<Reply, RunError>>;
type RecordGuard = OwnedMutexGuard<Record>;

/// Runs an order and sends the response or the refusal to `sender`.
pub(crate) async fn run(task: Task, sender: ReplySender) {
    match task.start().await {
        Ok(Started::Ended(outcome)) => {
            let _ = sender.send(replay(&task.job, outcome));
        }
        Ok(Started::Responding(responding)) => task.forward(responding, sender).await,
        Err(error) => {
            let _ = sender.send(Err(error));
        }
    }
    drop(task.guard);
}

enum Started {
    /// An earlier attempt has ended with this outcome.
    Ended(Outcome),
    /// An upstream is sending its response.
    Responding(Responding),
}

struct Responding {
    reply: upstream::Reply,
    attempt: ActiveAttempt,
    record: RecordGuard,
}

impl Task {
    async fn start(&self) -> Result<Started, RunError> {
        let mut record = self.lock().await?;
        match &record.phase {
            Phase::Ended(outcome) => return Ok(Started::Ended(outcome.clone())),
            Phase::Sent => return Err(unknown("an earlier attempt lost its outcome").into()),
            Phase::Unsent => {}
        }
        if self.core.tracker.is_shutting_down() {
            return Err(Error::new(Kind::Leaving, "this VM is shutting down").into());
        }
        // Admitted before it is claimed, so that an order refused for a limit leaves no claim.
        let route = Route::admit(&self.core, &self.job)?;
        if !self.owned {
            self.claim(&record).await?;
        }
        let (reply, attempt) = self.send(&mut record, route).await?;
        Ok(Started::Responding(Responding { reply, attempt, record }))
    }

    // Waits for an earlier attempt at the order, whose outcome is then in the record.
    async fn lock(&self) -> Result<RecordGuard, Error> {
        let timeout = self.job.deadline - self.core.clock.now();
        let locking = Arc::clone(&self.record).lock_owned();
        let timed_out = |_| {
            Error::new(Kind::DeadlineAfterSend, "an earlier attempt at the order is still running")
        };
        tokio::time::timeout(timeout.duration(), locking).await.map_err(timed_out)
    }

    async fn claim(&self, record: &Record) -> Result<(), RunError> {
        let timeout = self.job.time_to_send(self.core.clock.now())?;
        let claiming = self.core.claimer.claim(&self.id, record.transactions.clone());
        let timed_out = |_| Error::new(Kind::DeadlineBeforeSend, "the claim took too long");
        match tokio::time::timeout(timeout.duration(), claiming).await.map_err(timed_out)? {
            Holder::This => Ok(()),
            Holder::Other(owner) => Err(RunError::OwnedElsewhere(owner)),
            Holder::Unknown(context) => Err(Error::new(Kind::PlatformDown, context).into()),
        }
    }

    async fn send(
        &self,
        record: &mut Record,
        mut route: Route,
    ) -> Result<(upstream::Reply, ActiveAttempt), Error> {
        loop {
            let attempt = route.next_attempt(&self.core, &self.job).await?;
            let size = reply::request_bytes(&self.job);
            let paced =
                self.core.pace(attempt.region, Direction::Send, size, self.job.deadline).await;
            paced
                .map_err(|_| Error::new(Kind::DeadlineBeforeSend, "the link limit is exhausted"))?;
            let timeout = self.job.time_to_send(self.core.clock.now())?;
            record.phase = Phase::Sent;
            let error = match send(&self.core, &self.job, &attempt, HeaderMap::new(), timeout).await
            {
                Ok(reply) => return Ok((reply, attempt)),
                Err(SendError::Failed(failure @ Failure::NotSent { .. })) => {
                    record.phase = Phase::Unsent;
                    attempt.finish(attempt_outcome(&failure));
                    if route.attempts() < ATTEMPTS_MAX {
                        trace::retry(&self.job, "not_sent");
                        continue;
                    }
                    return Err(error(failure));
                }
                Err(cause) => finish_failed(cause, attempt),
            };
            record.phase = Phase::Ended(Outcome::Unknown(error.clone()));
            return Err(error);
        }
    }

    // Forwards the response; if the caller disconnects, reads on to store the outcome for a retry.
    async fn forward(&self, responding: Responding, sender: ReplySender) {
        let Responding { mut reply, attempt, mut record } = responding;
        let (mut writer, body) = channel(self.core.clock, self.job.deadline);
        let headers = reply::headers(&self.job, reply.headers.clone());
        let _ = sender.send(Ok(Reply { status: reply.status, headers, body }));
        let outcome = self.read(&mut reply, &mut writer, attempt.region).await;
        let complete = !matches!(outcome, Outcome::Unknown(_));
        attempt.finish(if complete { choice::Outcome::Answered } else { choice::Outcome::Broken });
        record.phase = Phase::Ended(outcome.clone());
        drop(record);
        match outcome {
            Outcome::Unknown(error) => writer.fail(error).await,
            Outcome::Stored(_) | Outcome::Ran(_) => writer.end().await,
        }
    }

    async fn read(&self, reply: &mut upstream::Reply, writer: &mut Writer, region: u16) -> Outcome {
        let mut recorder = Recorder::new(self.core.settings.response_bytes_max);
        loop {
            match self.next_chunk(reply).await {
                Ok(Some(chunk)) => {
                    self.pace(region, &chunk).await;
                    recorder.push(&chunk);
                    writer.write(chunk).await;
                }
                Ok(None) => return recorder.finish(reply),
                Err(error) => return Outcome::Unknown(error),
            }
        }
    }

    // The bytes have already used the link, so they are accepted past the deadline too.
    async fn pace(&self, region: u16, chunk: &Bytes) {
        let size = chunk.len() as u64;
        let _ = self.core.pace(region, Direction::Receive, size, self.job.deadline).await;
    }

    async fn next_chunk(&self, reply: &mut upstream::Reply) -> Result<Option<Bytes>, Error> {
        let timeout = self.job.deadline - self.core.clock.now();
        match tokio::time::timeout(timeout.duration(), reply.body.next()).await {
            Ok(Some(Ok(chunk))) => Ok(Some(chunk)),
            Ok(Some(Err(failure))) => Err(Error::new(Kind::UpstreamBroken, failure.to_string())),
            Ok(None) => Ok(None),
            Err(_) => Err(Error::new(
                Kind::DeadlineAfterSend,
                "the response was incomplete at the deadline",
            )),
        }
    }
}

/// Records a response while it is forwarded: its body up to `max_bytes`, its size and hash.
struct Recorder {
    body: Option<Vec<u8>>,
    max_bytes: usize,
    size: u64,
    hasher: blake3::Hasher,
}

impl Recorder {
    fn new(max_bytes: usize) -> Recorder {
        Recorder { body: Some(Vec::new()), max_bytes, size: 0, hasher: blake3::Hasher::new() }
    }

    fn push(&mut self, chunk: &Bytes) {
        self.size += chunk.len() as u64;
        self.hasher.update(chunk);
        match &mut self.body {
            Some(body) if body.len() + chunk.len() <= self.max_bytes => {
                body.extend_from_slice(chunk)
            }
            _ => self.body = None,
        }
    }

    fn finish(self, reply: &upstream::Reply) -> Outcome {
        let status = reply.status;
        match self.body {
            Some(body) => {
                let headers = reply.headers.clone();
                Outcome::Stored(StoredResponse { status, headers, body: body.into() })
            }
            None => Outcome::Ran(ResponseDigest {
                status,
                size: self.size,
                hash: self.hasher.finalize(),
            }),
        }
    }
}

fn replay(job: &Job, outcome: Outcome) -> Result<Reply, RunError> {
    match outcome {
        Outcome::Stored(response) => {
            let headers = reply::headers(job, response.headers);
            let body = Box::pin(stream::iter([Ok(response.body)]));
            Ok(Reply { status: response.status, headers, body })
        }
        Outcome::Ran(digest) => Err(already_ran(&digest).into()),
        Outcome::Unknown(error) => Err(error.into()),
    }
}

fn already_ran(digest: &ResponseDigest) -> Error {
    let ResponseDigest { status, size, hash } = digest;
    let context = format!("the order ran: status {status}, {size} bytes, digest {}", hash.to_hex());
    Error::new(Kind::AlreadyRan, context)
}

fn finish_failed(cause: SendError, attempt: ActiveAttempt) -> Error {
    match cause {
        SendError::TimedOut => {
            attempt.finish(choice::Outcome::Broken);
            Error::new(Kind::DeadlineAfterSend, "no answer before the deadline")
        }
        SendError::Failed(failure) => {
            attempt.finish(attempt_outcome(&failure));
            error(failure)
        }
    }
}

fn unknown(context: &str) -> Error {
    Error::new(Kind::OutcomeUnknown, context)
}
