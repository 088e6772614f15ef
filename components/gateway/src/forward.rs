//! From a caller's request to its answer: route, placement, tries.

use crate::attempt::{self, Job};
use crate::core::Core;
use crate::outcome::{Cause, Outcome, Trace};
use crate::place::{self, Demand};
use crate::reply::Reply;
use crate::server::Server;
use crate::trace;
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::Request;
use std::rc::Rc;
use std::sync::Arc;
use steering::affinity::Reason;
use steering::catalogue::Feed;
use steering::routing::{Effect, Route, Service};

/// What a caller has left that doesn't say so.
const DEADLINE_UNSAID: Millis = Millis::from_secs(30);
/// Tries at upstreams that could not be reached; they cost nobody anything but time.
const UNSENT_MOST: usize = 4;
/// The soonest that a refused caller is told to come back.
const RETRY_AFTER_LEAST: Millis = Millis(100);
/// The latest that a refused caller is told to come back.
const RETRY_AFTER_MOST: Millis = Millis(1_000);

/// A stopping VM takes a request only if it usually ends this long before the process does; a
/// wait at the upstream may multiply the usual time.
const STOP_MARGIN: Millis = Millis(2_000);

/// When to come back to a VM that has just started; reading the store takes a fraction of it.
const NOT_READY_RETRY: Millis = Millis(250);

/// What is noted for the log on the way.
#[derive(Debug, Default)]
struct Notes {
    route: Arc<str>,
    service: Arc<str>,
    upstream: Arc<str>,
    reason: &'static str,
    sent: u32,
    version: u64,
}

/// Answers a request that arrived at `arrived`.
pub async fn forward(core: &Rc<Core>, head: Request, body: Bytes, arrived: Millis) -> Reply {
    let names = core.protocol.names();
    let id = head.headers.get(names.request_id).cloned().unwrap_or_default();
    let budget = head.headers.text(names.deadline).and_then(|text| text.trim().parse().ok());
    let budget = budget.map_or(DEADLINE_UNSAID, Millis);
    let mut notes = Notes::default();
    let object = head.headers.get(names.object).cloned().unwrap_or_default();
    let reply = handle(core, head, body, id.clone(), arrived, budget, &mut notes).await;
    let now = core.clock.now();
    let heard = core.store_answered(Feed::Upstreams);
    trace::outcome(&trace::Outcome {
        request: std::str::from_utf8(&id).unwrap_or_default(),
        object: std::str::from_utf8(&object).unwrap_or_default(),
        route: &notes.route,
        service: &notes.service,
        upstream: &notes.upstream,
        reason: notes.reason,
        status: reply.status,
        attempts: notes.sent,
        took: now - arrived,
        budget,
        version: notes.version,
        age: heard.map(|heard| now - heard),
    });
    reply
}

async fn handle(
    core: &Rc<Core>,
    head: Request,
    body: Bytes,
    id: Bytes,
    arrived: Millis,
    budget: Millis,
    notes: &mut Notes,
) -> Reply {
    if !core.catalogue.borrow().is_complete() {
        notes.reason = "no configuration yet";
        return Reply::failure(Kind::NotReady, Some(NOT_READY_RETRY));
    }
    let table = core.table();
    notes.version = table.version();
    let host = head.headers.text("host").unwrap_or_default();
    let Some(route) = table.route(host, head.path()).cloned() else {
        notes.reason = "no route";
        return Reply::failure(Kind::UnknownRoute, None);
    };
    notes.route = Arc::clone(&route.name);
    let service = core.splitter.borrow_mut().pick(&route);
    let service = service.and_then(|name| table.service(&name).cloned());
    let Some(service) = service else {
        notes.reason = "no service";
        return Reply::failure(Kind::NoUpstream, None);
    };
    notes.service = Arc::clone(&service.name);
    let usual = core.fleet.borrow().usual(&route.name);
    if core.ends_at().is_some_and(|ends| arrived + usual + STOP_MARGIN > ends) {
        notes.reason = "stopping";
        return Reply::failure(Kind::Leaving, Some(RETRY_AFTER_LEAST));
    }
    core.repeats.borrow_mut().record_request(&service.name, arrived);
    let span = route.timeout.map_or(budget, |timeout| timeout.min(budget));
    let job = Job { head, body, id, deadline: arrived + span };
    Tries {
        core,
        route: &route,
        service: &service,
        job,
        arrived,
        tried: Vec::new(),
        unknown: false,
    }
    .run(notes)
    .await
}

/// An answer that had no wait at the upstream.
struct Work {
    took: Millis,
    /// Whether the upstream was in the object's region.
    planned: bool,
}

/// A request on its way through upstreams.
struct Tries<'a> {
    core: &'a Rc<Core>,
    route: &'a Route,
    service: &'a Service,
    job: Job,
    arrived: Millis,
    tried: Vec<Arc<str>>,
    /// Whether an upstream may have run it.
    unknown: bool,
}

impl Tries<'_> {
    async fn run(mut self, notes: &mut Notes) -> Reply {
        let mut unsent = 0;
        loop {
            let now = self.core.clock.now();
            if now >= self.job.deadline {
                return self.give_up("deadline", None, notes);
            }
            let (server, choice) = match self.place(now) {
                Ok(placed) => placed,
                Err(retry_after) => return self.give_up("full", Some(retry_after), notes),
            };
            notes.upstream = Arc::clone(&server.entry.id);
            notes.reason = choice.reason.as_str();
            let started = self.core.clock.now();
            let waited = server.load(started) >= f64::from(server.entry.slots);
            let outcome = attempt::run(self.core, &self.job, &server).await;
            let took = self.core.clock.now() - started;
            let planned = choice.reason != Reason::OtherRegion;
            self.learn(&server, &outcome, (!waited).then_some(Work { took, planned }));
            let was_sent =
                !matches!(&outcome, Outcome::Failed(cause) if cause.trace() == Trace::NotSent);
            notes.sent += u32::from(was_sent);
            unsent += usize::from(!was_sent);
            let reason = match outcome {
                Outcome::Answered(reply) if reply.status < 500 => return reply,
                Outcome::Answered(reply) if !self.may_repeat(notes.sent) => return reply,
                Outcome::Answered(_) => "failure of the upstream",
                Outcome::TimedOut => {
                    notes.reason = "no answer in time";
                    return Reply::failure(Kind::DeadlineAfterSend, None);
                }
                Outcome::Failed(cause) => {
                    self.unknown |= cause.trace() == Trace::Unknown;
                    let goes_on = match cause.trace() {
                        Trace::NotSent => unsent < UNSENT_MOST,
                        Trace::NotRun => self.may_try_again(notes.sent),
                        Trace::Unknown => self.may_repeat(notes.sent),
                    };
                    if !goes_on {
                        return self.give_up(cause.as_str(), None, notes);
                    }
                    cause.as_str()
                }
            };
            let request = std::str::from_utf8(&self.job.id).unwrap_or_default();
            trace::attempt_failed(request, &server.entry.id, reason, took);
            self.tried.push(Arc::clone(&server.entry.id));
        }
    }

    fn place(&self, now: Millis) -> Result<(Rc<Server>, steering::affinity::Choice), Millis> {
        let object = self.job.head.headers.get(self.core.protocol.names().object);
        let demand = Demand {
            route: self.route,
            service: self.service,
            object: object.map(|object| object.as_ref()).unwrap_or_default(),
            tried: &self.tried,
            waited: now - self.arrived,
            left: self.job.deadline - now,
        };
        place::place(self.core, &demand).map_err(|full| full.retry_after)
    }

    fn learn(&self, server: &Rc<Server>, outcome: &Outcome, work: Option<Work>) {
        let now = self.core.clock.now();
        let failed = match outcome {
            Outcome::Answered(reply) if reply.status < 500 => {
                server.succeeded();
                if let Some(Work { took, planned }) = work {
                    let mut fleet = self.core.fleet.borrow_mut();
                    let way = fleet.distance(&self.core.settings().region, &server.region);
                    fleet.answered(&self.route.name, took - way, planned);
                }
                false
            }
            Outcome::Failed(Cause::Misdirected) => {
                server.depart();
                false
            }
            Outcome::Failed(Cause::Shed) => server.load(now) < f64::from(server.entry.slots),
            Outcome::Failed(Cause::Deadline | Cause::Left) => false,
            Outcome::Answered(_) | Outcome::Failed(_) | Outcome::TimedOut => true,
        };
        if failed && server.failed(now) {
            let upstream = server.entry.id.as_ref();
            log::info!(target: "belief", upstream = upstream; "upstream shunned after failures");
        }
    }

    /// Whether a request that may have run may be sent once more.
    fn may_repeat(&self, sent: u32) -> bool {
        self.route.effect != Effect::Order && self.may_try_again(sent)
    }

    /// Whether a further upstream may be offered the request.
    fn may_try_again(&self, sent: u32) -> bool {
        let now = self.core.clock.now();
        let usual = self.core.fleet.borrow().usual(&self.route.name);
        sent < self.route.attempts
            && now + usual < self.job.deadline
            && self.core.repeats.borrow_mut().spend(&self.service.name, self.core.vms(), now)
    }

    fn give_up(
        &self,
        reason: &'static str,
        retry_after: Option<Millis>,
        notes: &mut Notes,
    ) -> Reply {
        notes.reason = reason;
        if self.unknown {
            return Reply::failure(Kind::UpstreamBroken, None);
        }
        let usual = self.core.fleet.borrow().usual(&self.route.name);
        let span = retry_after.unwrap_or(usual).clamp(RETRY_AFTER_LEAST, RETRY_AFTER_MOST);
        Reply::failure(Kind::Overloaded, Some(span))
    }
}
