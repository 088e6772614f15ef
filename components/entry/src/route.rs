use crate::active_attempt::{ActiveAttempt, Target};
use crate::core::Core;
use crate::job::Job;
use crate::limit_metrics;
use crate::trace;
use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;
use steering::admission::Reason;
use steering::choice::{Pick, Unavailable};

/// The region that a request was admitted to and the upstreams that were tried.
pub(crate) struct Route {
    region: u16,
    tried: Vec<Arc<str>>,
    /// Whether a shift moved the request there, so that the shift cap applies to further attempts
    /// too.
    moved: bool,
    /// Whether the region's limit has already admitted the next attempt, along with the request.
    reserved: bool,
}

impl Route {
    /// Admits a request into the region that serves it.
    pub(crate) fn admit(core: &Core, job: &Job) -> Result<Route, Error> {
        let now = core.clock.now();
        job.time_to_send(now)?;
        let admitted = core.limits().admit(job.home, job.request.block, job.id_hash(), now)?;
        limit_metrics::count_admitted(&job.view, admitted.region);
        let moved = admitted.reason == Reason::Moved;
        Ok(Route { region: admitted.region, tried: Vec::new(), moved, reserved: true })
    }

    /// The number of attempts so far, hedges included.
    pub(crate) fn attempts(&self) -> u32 {
        self.tried.len() as u32
    }

    /// The region of the last attempt.
    pub(crate) fn region(&self) -> u16 {
        self.region
    }

    /// Starts the next attempt at the best upstream; a long request waits while other long requests
    /// hold all slots that they may use.
    pub(crate) async fn next_attempt(
        &mut self,
        core: &Arc<Core>,
        job: &Job,
    ) -> Result<ActiveAttempt, Error> {
        loop {
            let slot_freed = core.slot_freed.notified();
            match self.start_attempt(core, job) {
                Ok(attempt) => return Ok(attempt),
                Err(RouteError::Refused(error)) => return Err(error),
                Err(RouteError::NoLongSlot) => wait_for_slot(core, job, slot_freed).await?,
            }
        }
    }

    fn start_attempt(&mut self, core: &Arc<Core>, job: &Job) -> Result<ActiveAttempt, RouteError> {
        let now = core.clock.now();
        job.time_to_send(now)?;
        let target = match self.pick(core, job, self.region, now) {
            Ok(pick) => self.start_in_region(core, job, &pick, now)?,
            Err(Unavailable::LongSlots) => return Err(RouteError::NoLongSlot),
            Err(Unavailable::Connections) => return Err(connections_exhausted().into()),
            Err(Unavailable::Empty | Unavailable::Exhausted | Unavailable::Unowned) => {
                self.fail_over(core, job, now)?
            }
        };
        self.tried.push(Arc::clone(&target.upstream));
        self.reserved = false;
        trace::route(job, &target);
        Ok(ActiveAttempt::new(core, job, target))
    }

    fn pick(&self, core: &Core, job: &Job, region: u16, now: Millis) -> Result<Pick, Unavailable> {
        let mut services = core.services();
        let (service, rng) = services.get(&job.request.service).ok_or(Unavailable::Empty)?;
        service.choose(region, job.class, job.request.idempotent, &self.tried, now, rng)
    }

    // The region's limit admits an attempt before its upstream counts it as in flight.
    fn start_in_region(
        &self,
        core: &Core,
        job: &Job,
        pick: &Pick,
        now: Millis,
    ) -> Result<Target, Error> {
        if !self.reserved {
            core.limits().retry(self.region, self.moved, now)?;
        }
        start_at_upstream(core, job, self.region, pick, now)
    }

    // Moves the request to the nearest other region that has an upstream for it, if no upstream of
    // its region can serve it or this VM holds none of their slots for long requests. The shift cap
    // applies, since the caches there are cold.
    fn fail_over(&mut self, core: &Core, job: &Job, now: Millis) -> Result<Target, RouteError> {
        let mut refusal = None;
        let mut waits_for_slot = false;
        for region in job.view.index.nearest(self.region).iter().copied().skip(1) {
            let pick = match self.pick(core, job, region, now) {
                Ok(pick) => pick,
                Err(reason) => {
                    waits_for_slot |= reason == Unavailable::LongSlots;
                    continue;
                }
            };
            let admission = core.limits().fail_over(region, now);
            match admission {
                Ok(_) => {
                    self.region = region;
                    self.moved = true;
                    return Ok(start_at_upstream(core, job, region, &pick, now)?);
                }
                Err(error) => refusal = refusal.or(Some(error)),
            }
        }
        let no_upstream = || Error::new(Kind::NoUpstream, "no upstream accepts new requests");
        match refusal {
            None if waits_for_slot => Err(RouteError::NoLongSlot),
            refusal => Err(refusal.unwrap_or_else(no_upstream).into()),
        }
    }
}

enum RouteError {
    Refused(Error),
    /// Other long requests hold all slots that they may use.
    NoLongSlot,
}

impl From<Error> for RouteError {
    fn from(error: Error) -> RouteError {
        RouteError::Refused(error)
    }
}

fn start_at_upstream(
    core: &Core,
    job: &Job,
    region: u16,
    pick: &Pick,
    now: Millis,
) -> Result<Target, Error> {
    let mut services = core.services();
    let found = services.get(&job.request.service);
    let (service, _) =
        found.ok_or_else(|| Error::new(Kind::NoUpstream, "the service was removed"))?;
    let address = service.address(&pick.name);
    let address =
        address.ok_or_else(|| Error::new(Kind::NoUpstream, "the upstream was removed"))?;
    let ticket = service.start(region, pick, job.class, now);
    let upstream = Arc::clone(&pick.name);
    Ok(Target { upstream, address, region, reason: pick.reason, ticket })
}

async fn wait_for_slot(
    core: &Core,
    job: &Job,
    slot_freed: impl Future<Output = ()>,
) -> Result<(), Error> {
    let timeout = job.time_to_send(core.clock.now())?;
    let timed_out = |_| {
        Error::new(Kind::Overloaded, "no slot for long requests became free before the deadline")
    };
    tokio::time::timeout(timeout.duration(), slot_freed).await.map_err(timed_out)
}

fn connections_exhausted() -> Error {
    Error::new(Kind::Overloaded, "every upstream has reached its limit of connections from this VM")
}
