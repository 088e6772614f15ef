use crate::view::View;
use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;
use steering::admission::{Admission, Admitted};
use steering::limit::{Pacer, Waiter};
use steering::planner::{Ack, Demand};
use steering::share::{self, Configuration};

/// This VM's request limits of regions and its byte limits of links.
pub(crate) struct Limits {
    vm: Arc<str>,
    domain: Arc<str>,
    started: Millis,
    admission: Option<Admission>,
    links: Vec<Link>,
}

/// The limits of the link to one region.
struct Link {
    name: Arc<str>,
    send: Pacer,
    receive: Pacer,
    limited: bool,
}

/// The direction of bytes on a link.
#[derive(Clone, Copy)]
pub(crate) enum Direction {
    /// Requests to the region.
    Send,
    /// Responses from the region.
    Receive,
}

impl Limits {
    pub(crate) fn new(vm: Arc<str>, domain: Arc<str>, started: Millis) -> Limits {
        let links = Vec::new();
        Limits { vm, domain, started, admission: None, links }
    }

    /// Applies a snapshot.
    pub(crate) fn update(&mut self, view: &View, now: Millis) {
        if self.admission.is_none() {
            let (vm, domain) = (Arc::clone(&self.vm), Arc::clone(&self.domain));
            self.admission = Some(Admission::new(&view.index, vm, domain, self.started));
        }
        self.tick(view, now);
    }

    /// Admits a request of `block`, whose nearest region is `home`, into the region that serves it.
    pub(crate) fn admit(
        &mut self,
        home: u16,
        block: u32,
        id_hash: u32,
        now: Millis,
    ) -> Result<Admitted, Error> {
        self.admission()?.admit(home, block, id_hash, now)
    }

    /// Admits a further attempt into `region`; if a shift `moved` the request there, the shift cap
    /// applies too.
    pub(crate) fn retry(&mut self, region: u16, moved: bool, now: Millis) -> Result<(), Error> {
        let admission = self.admission()?;
        match moved {
            true => admission.fail_over(region, now).map(|_| ()),
            false => admission.retry(region, now),
        }
    }

    /// Admits a request into `region`, because its serving region has no upstream for it.
    pub(crate) fn fail_over(&mut self, region: u16, now: Millis) -> Result<Admitted, Error> {
        self.admission()?.fail_over(region, now)
    }

    /// The region whose entry VMs a look-up returns.
    pub(crate) fn serving_region(&mut self, home: u16, block: u32) -> Result<u16, Error> {
        Ok(self.admission()?.serving_region(home, block))
    }

    /// Takes up to `wanted` bytes from the limit of the link to `region`.
    ///
    /// # Errors
    ///
    /// How long to wait until the limit admits more bytes.
    pub(crate) fn take(
        &mut self,
        region: u16,
        direction: Direction,
        wanted: u64,
        waiter: &mut Waiter,
        now: Millis,
    ) -> Result<u64, Millis> {
        let Some(link) = self.links.get_mut(usize::from(region)).filter(|link| link.limited) else {
            return Ok(wanted);
        };
        let pacer = match direction {
            Direction::Send => &mut link.send,
            Direction::Receive => &mut link.receive,
        };
        pacer.take(now, wanted, waiter).map_err(|refused| refused.wait)
    }

    /// The plan in force and the progress of its shift, as reported to the planner.
    pub(crate) fn ack(&mut self, view: &View, now: Millis) -> Ack {
        self.tick(view, now);
        self.admission.as_ref().map(Admission::ack).unwrap_or_default()
    }

    /// The callers' demand, as reported to the planner.
    pub(crate) fn demand(&self) -> Demand {
        self.admission.as_ref().map(Admission::demand).unwrap_or_default()
    }

    fn admission(&mut self) -> Result<&mut Admission, Error> {
        let not_ready = || Error::new(Kind::NotReady, "this VM has no configuration yet");
        self.admission.as_mut().ok_or_else(not_ready)
    }

    /// Advances shifts and drains to `now`.
    pub(crate) fn tick(&mut self, view: &View, now: Millis) {
        if let Some(admission) = &mut self.admission {
            admission.tick(&view.index, view.down, now);
        }
        self.update_links(view, now);
    }

    // Each link keeps its pacers, and so its count of admitted bytes. Links are matched by the name
    // of the region, since its number may change.
    fn update_links(&mut self, view: &View, now: Millis) {
        let snapshot = view.snapshot();
        let configuration = Configuration {
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            drains: &snapshot.drains,
        };
        let own_region = steering::region_of(&snapshot.deployment, &self.domain);
        let own_region = own_region.map_or("", |region| &*region.name);
        let limits = share::limits(&snapshot.plan, configuration, &self.vm, own_region, now);
        let mut old = std::mem::take(&mut self.links);
        for (name, limit) in view.index.regions().iter().zip(&limits.links) {
            let mut link = Link::take_or_new(&mut old, name);
            link.limited = *limit != share::LinkLimit::UNLIMITED;
            set_cap(&mut link.send, limit.send_kbit);
            set_cap(&mut link.receive, limit.receive_kbit);
            self.links.push(link);
        }
    }
}

impl Link {
    fn take_or_new(old: &mut Vec<Link>, name: &Arc<str>) -> Link {
        match old.iter().position(|link| link.name == *name) {
            Some(index) => old.swap_remove(index),
            None => Link {
                name: Arc::clone(name),
                send: Pacer::new(0),
                receive: Pacer::new(0),
                limited: true,
            },
        }
    }
}

// Setting a cap wakes waiters early, so an unchanged cap is not set again.
fn set_cap(pacer: &mut Pacer, cap_kbit: u32) {
    if pacer.cap_kbit() != u64::from(cap_kbit) {
        pacer.set_cap_kbit(u64::from(cap_kbit));
    }
}
