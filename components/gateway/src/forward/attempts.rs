//! Attempts of a request at upstreams, until one has answered or no retry is allowed.

use super::{MIN_RETRY_AFTER, Progress};
use crate::accounts;
use crate::attempt::{self, Job};
use crate::caps;
use crate::core::Core;
use crate::endpoint::Endpoint;
use crate::observation::{Observation, Sample};
use crate::outcome::{Cause, Execution, Outcome};
use crate::placement::{self, Demand};
use crate::reply::Reply;
use crate::reporting;
use clock::Millis;
use errors::Kind;
use std::rc::Rc;
use std::sync::Arc;
use steering::affinity::Reason;
use steering::routing::{Effect, Route, Service};

/// Limit of attempts that end before the request is sent. They need no retry budget, as they put no
/// load on upstreams.
const MAX_UNSENT_ATTEMPTS: usize = 4;
const MAX_RETRY_AFTER: Millis = Millis(1_000);

/// The attempts of one request.
pub(super) struct Attempts<'a> {
    pub core: &'a Rc<Core>,
    pub route: &'a Route,
    pub service: &'a Service,
    pub job: Job,
    pub tried: Vec<Arc<str>>,
    /// Whether an upstream may have executed the request.
    pub may_have_run: bool,
}

impl Attempts<'_> {
    /// Attempts the request until there is a response or no retry is allowed.
    pub(super) async fn run(mut self, progress: &mut Progress) -> Reply {
        let mut unsent_attempts = 0;
        loop {
            let now = self.core.clock.now();
            if now >= self.job.deadline {
                return self.give_up("deadline", None, progress);
            }
            if self.job.is_abandoned() {
                return self.give_up(Cause::CallerLeft.as_str(), None, progress);
            }
            if accounts::current(self.core, &self.job).is_err() {
                return self.refuse_withdrawn(progress);
            }
            let (endpoint, choice) = match self.place(now) {
                Ok(placed) => placed,
                Err(retry_after) => return self.give_up("full", Some(retry_after), progress),
            };
            progress.upstream = Arc::clone(&endpoint.entry.id);
            progress.upstream_region = endpoint.region.clone().unwrap_or_default();
            progress.reason = choice.reason.as_str();
            let started = self.core.clock.now();
            let is_queued = endpoint.load(started) >= f64::from(endpoint.slots());
            let outcome = attempt::run(self.core, &self.job, self.service, &endpoint).await;
            let took = self.core.clock.now() - started;
            let assigned = choice.reason != Reason::OtherRegion;
            let sample = (!is_queued).then_some(Sample { took, assigned });
            let seen =
                Observation { route: &self.route.name, endpoint: &endpoint, outcome: &outcome };
            let shed = seen.record(self.core, &self.service.name, sample);
            let was_sent = !matches!(
                &outcome,
                Outcome::Failed(cause) if cause.execution() == Execution::NotSent
            );
            progress.sent_attempts += u32::from(was_sent);
            unsent_attempts += usize::from(!was_sent);
            let reason = match outcome {
                Outcome::Response(reply) if reply.status < 500 => return reply,
                Outcome::Response(reply) if !self.may_execute_again(progress.sent_attempts) => {
                    return reply;
                }
                Outcome::Response(_) => {
                    self.may_have_run = true;
                    "failure of the upstream"
                }
                Outcome::TimedOut => {
                    progress.reason = "no answer in time";
                    return Reply::failure(Kind::DeadlineAfterSend, None);
                }
                Outcome::Failed(cause) => {
                    self.may_have_run |= cause.execution() == Execution::Unknown;
                    let may_retry = match cause.execution() {
                        Execution::NotSent => unsent_attempts < MAX_UNSENT_ATTEMPTS,
                        Execution::NotRun => self.may_retry(progress.sent_attempts),
                        Execution::Unknown => self.may_execute_again(progress.sent_attempts),
                    };
                    if !may_retry {
                        let retry_after = shed.map(|_| MIN_RETRY_AFTER);
                        return self.give_up(cause.as_str(), retry_after, progress);
                    }
                    cause.as_str()
                }
            };
            let request = std::str::from_utf8(&self.job.id).unwrap_or_default();
            reporting::attempt_failed(request, &endpoint.entry.id, reason, took);
            if !shed.is_some_and(|rate| rate.is_common(started + took)) {
                self.tried.push(Arc::clone(&endpoint.entry.id));
            }
        }
    }

    fn place(&self, now: Millis) -> Result<(Rc<Endpoint>, steering::affinity::Choice), Millis> {
        let object = self.job.head.headers.get(self.core.protocol.names().object);
        let allowed = self.job.allowed_regions(self.core);
        let demand = Demand {
            route: self.route,
            service: self.service,
            allowed: &allowed,
            object: object.map(|object| object.as_ref()).unwrap_or_default(),
            tried: &self.tried,
            elapsed: now - self.job.arrived,
            remaining: self.job.deadline - now,
            bytes: self.job.body.len() as u64,
            priority: self.job.priority,
            account: self.job.account.as_deref(),
        };
        placement::place(self.core, &demand).map_err(|full| full.retry_after)
    }

    /// Whether a request that may have been executed may be retried.
    fn may_execute_again(&self, sent_attempts: u32) -> bool {
        self.route.effect != Effect::Order
            && self.may_retry(sent_attempts)
            && caps::admit_again(self.core, self.job.account.as_ref())
    }

    /// Whether attempts, time and retry budget allow for another attempt.
    fn may_retry(&self, sent_attempts: u32) -> bool {
        let now = self.core.clock.now();
        let service_time = self.core.upstreams.borrow().service_time(&self.route.name);
        sent_attempts < self.route.attempts
            && now + service_time < self.job.deadline
            && self.core.retry_budget.borrow_mut().spend(
                &self.service.name,
                self.core.sender_count(),
                now,
            )
    }

    /// The error response after the key was withdrawn.
    fn refuse_withdrawn(&self, progress: &mut Progress) -> Reply {
        progress.reason = Cause::KeyWithdrawn.as_str();
        match self.may_have_run {
            true => Reply::failure(Kind::UpstreamBroken, None),
            false => Reply::failure(Kind::Unauthorized, None),
        }
    }

    /// The error response after the last attempt.
    fn give_up(
        &self,
        reason: &'static str,
        retry_after: Option<Millis>,
        progress: &mut Progress,
    ) -> Reply {
        progress.reason = reason;
        if self.may_have_run {
            return Reply::failure(Kind::UpstreamBroken, None);
        }
        let allowed = self.job.allowed_regions(self.core);
        if let Some(pause) = placement::pause(self.core, &allowed, self.service) {
            progress.reason = "paused";
            return Reply::failure(Kind::Overloaded, Some(pause.max(MIN_RETRY_AFTER)));
        }
        let service_time = self.core.upstreams.borrow().service_time(&self.route.name);
        let span = retry_after.unwrap_or(service_time).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Reply::failure(Kind::Overloaded, Some(span))
    }
}
