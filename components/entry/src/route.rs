use crate::core::Core;
use crate::flight::{Chosen, Flight};
use crate::job::Job;
use crate::measure;
use crate::trace;
use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;
use steering::admission::Reason;
use steering::choice::{Pick, Unavailable};

/// Where a request goes: the region that it was admitted to and the upstreams that it has tried.
pub(crate) struct Course {
    region: u16,
    tried: Vec<Arc<str>>,
    /// Whether a shift moves the request there, so that further attempts count under its cap too.
    moved: bool,
    /// Whether the region's window has room set aside for an attempt not yet made.
    admitted: bool,
}

impl Course {
    /// Admits a request into the region that serves it.
    pub(crate) fn open(core: &Core, job: &Job) -> Result<Course, Error> {
        let now = core.clock.now();
        job.time_to_send(now)?;
        let admitted = core.limits().admit(job.home, job.request.block, job.draw(), now)?;
        measure::admitted(&job.view, admitted.region);
        let moved = admitted.reason == Reason::Moved;
        Ok(Course { region: admitted.region, tried: Vec::new(), moved, admitted: true })
    }

    /// Attempts made so far, hedges included.
    pub(crate) fn attempts(&self) -> u32 {
        self.tried.len() as u32
    }

    /// The region that the last attempt went to.
    pub(crate) fn region(&self) -> u16 {
        self.region
    }

    /// Chooses the upstream of the next attempt, waiting for a slot if long requests hold them all.
    pub(crate) async fn next(&mut self, core: &Arc<Core>, job: &Job) -> Result<Flight, Error> {
        loop {
            let freed = core.freed.notified();
            match self.choose(core, job) {
                Ok(flight) => return Ok(flight),
                Err(Blocked::Refused(error)) => return Err(error),
                Err(Blocked::Waiting) => wait(core, job, freed).await?,
            }
        }
    }

    fn choose(&mut self, core: &Arc<Core>, job: &Job) -> Result<Flight, Blocked> {
        let now = core.clock.now();
        job.time_to_send(now)?;
        let chosen = match self.pick(core, job, self.region, now) {
            Ok(pick) => self.enter(core, job, &pick, now)?,
            Err(Unavailable::LongSlots) => return Err(Blocked::Waiting),
            Err(Unavailable::Connections) => return Err(full().into()),
            Err(Unavailable::Empty | Unavailable::Exhausted | Unavailable::Unowned) => {
                self.divert(core, job, now)?
            }
        };
        self.tried.push(Arc::clone(&chosen.upstream));
        self.admitted = false;
        trace::route(job, &chosen);
        Ok(Flight::new(core, job, chosen))
    }

    fn pick(&self, core: &Core, job: &Job, region: u16, now: Millis) -> Result<Pick, Unavailable> {
        let mut services = core.services();
        let (service, rng) = services.get(&job.request.service).ok_or(Unavailable::Empty)?;
        service.choose(region, job.class, job.request.idempotent, &self.tried, now, rng)
    }

    // An attempt takes room in its region's window before it counts at its upstream.
    fn enter(&self, core: &Core, job: &Job, pick: &Pick, now: Millis) -> Result<Chosen, Error> {
        if !self.admitted {
            core.limits().repeat(self.region, self.moved, now)?;
        }
        start(core, job, self.region, pick, now)
    }

    // No upstream of the region can serve it, or this VM holds none of its slots for long requests:
    // the nearest region that has one takes it, under the cap of shifts, since the caches there are
    // cold.
    fn divert(&mut self, core: &Core, job: &Job, now: Millis) -> Result<Chosen, Blocked> {
        let mut refused = None;
        let mut is_busy = false;
        for region in job.view.index.nearest(self.region).iter().copied().skip(1) {
            let pick = match self.pick(core, job, region, now) {
                Ok(pick) => pick,
                Err(reason) => {
                    is_busy |= reason == Unavailable::LongSlots;
                    continue;
                }
            };
            let diverted = core.limits().divert(region, now);
            match diverted {
                Ok(_) => {
                    self.region = region;
                    self.moved = true;
                    return Ok(start(core, job, region, &pick, now)?);
                }
                Err(error) => refused = refused.or(Some(error)),
            }
        }
        let none = || Error::new(Kind::NoUpstream, "no upstream of the service takes new work");
        match refused {
            None if is_busy => Err(Blocked::Waiting),
            refused => Err(refused.unwrap_or_else(none).into()),
        }
    }
}

enum Blocked {
    Refused(Error),
    Waiting,
}

impl From<Error> for Blocked {
    fn from(error: Error) -> Blocked {
        Blocked::Refused(error)
    }
}

fn start(core: &Core, job: &Job, region: u16, pick: &Pick, now: Millis) -> Result<Chosen, Error> {
    let mut services = core.services();
    let found = services.get(&job.request.service);
    let (service, _) = found.ok_or_else(|| Error::new(Kind::NoUpstream, "the service is gone"))?;
    let address = service.address(&pick.name);
    let address = address.ok_or_else(|| Error::new(Kind::NoUpstream, "the upstream is gone"))?;
    let ticket = service.start(region, pick, job.class, now);
    let upstream = Arc::clone(&pick.name);
    Ok(Chosen { upstream, address, region, reason: pick.reason, ticket })
}

async fn wait(core: &Core, job: &Job, freed: impl Future<Output = ()>) -> Result<(), Error> {
    let left = job.time_to_send(core.clock.now())?;
    let late = |_| Error::new(Kind::Overloaded, "long requests hold all slots that they may");
    tokio::time::timeout(left.duration(), freed).await.map_err(late)
}

fn full() -> Error {
    Error::new(Kind::Overloaded, "every upstream is at its limit of connections from this VM")
}
