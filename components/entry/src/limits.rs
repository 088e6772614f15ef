use crate::view::View;
use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;
use steering::admission::{Admission, Admitted};
use steering::limit::{Pacer, Waiter};
use steering::planner::{Ack, Demand};
use steering::share::{self, Configuration};

/// What this VM lets through into regions and over links.
pub(crate) struct Limits {
    vm: Arc<str>,
    domain: Arc<str>,
    started: Millis,
    admission: Option<Admission>,
    links: Vec<Link>,
}

/// The link to one region.
struct Link {
    name: Arc<str>,
    send: Pacer,
    receive: Pacer,
    limited: bool,
}

/// Which way bytes go over a link.
#[derive(Clone, Copy)]
pub(crate) enum Way {
    /// Requests.
    Send,
    /// Answers.
    Receive,
}

impl Limits {
    pub(crate) fn new(vm: Arc<str>, domain: Arc<str>, started: Millis) -> Limits {
        let links = Vec::new();
        Limits { vm, domain, started, admission: None, links }
    }

    /// Takes over a snapshot.
    pub(crate) fn update(&mut self, view: &View, now: Millis) {
        if self.admission.is_none() {
            let (vm, domain) = (Arc::clone(&self.vm), Arc::clone(&self.domain));
            self.admission = Some(Admission::new(&view.index, vm, domain, self.started));
        }
        self.tick(view, now);
    }

    /// Admits a request of `block` of region `home` into the region that serves it.
    pub(crate) fn admit(
        &mut self,
        home: u16,
        block: u32,
        draw: u32,
        now: Millis,
    ) -> Result<Admitted, Error> {
        self.admission()?.admit(home, block, draw, now)
    }

    /// Admits a further attempt into `region`, under the cap of shifts too if it was moved there.
    pub(crate) fn repeat(&mut self, region: u16, moved: bool, now: Millis) -> Result<(), Error> {
        let admission = self.admission()?;
        match moved {
            true => admission.fail_over(region, now).map(|_| ()),
            false => admission.retry(region, now),
        }
    }

    /// Admits a request into `region`, because the one that serves it has no upstream left.
    pub(crate) fn divert(&mut self, region: u16, now: Millis) -> Result<Admitted, Error> {
        self.admission()?.fail_over(region, now)
    }

    /// The region in which look-ups name entry VMs.
    pub(crate) fn serving(&mut self, home: u16, block: u32) -> Result<u16, Error> {
        Ok(self.admission()?.serving_region(home, block))
    }

    /// Takes up to `wanted` bytes on the link to `region`, or says how long to wait.
    pub(crate) fn take(
        &mut self,
        region: u16,
        way: Way,
        wanted: u64,
        waiter: &mut Waiter,
        now: Millis,
    ) -> Result<u64, Millis> {
        let Some(link) = self.links.get_mut(usize::from(region)).filter(|link| link.limited) else {
            return Ok(wanted);
        };
        let pacer = match way {
            Way::Send => &mut link.send,
            Way::Receive => &mut link.receive,
        };
        pacer.take(now, wanted, waiter).map_err(|refused| refused.wait)
    }

    /// What the planner is told of the plan in force here.
    pub(crate) fn ack(&mut self, view: &View, now: Millis) -> Ack {
        self.tick(view, now);
        self.admission.as_ref().map(Admission::ack).unwrap_or_default()
    }

    /// What the planner is told of the callers' demand.
    pub(crate) fn demand(&self) -> Demand {
        self.admission.as_ref().map(Admission::demand).unwrap_or_default()
    }

    fn admission(&mut self) -> Result<&mut Admission, Error> {
        let not_ready = || Error::new(Kind::NotReady, "this VM has no configuration yet");
        self.admission.as_mut().ok_or_else(not_ready)
    }

    /// Takes the steps of shifts and drains that are due.
    pub(crate) fn tick(&mut self, view: &View, now: Millis) {
        if let Some(admission) = &mut self.admission {
            admission.tick(&view.index, view.down, now);
        }
        self.set_links(view, now);
    }

    // Pacers are kept by the region's name, with what they have let through.
    fn set_links(&mut self, view: &View, now: Millis) {
        let snapshot = view.snapshot();
        let configuration = Configuration {
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            drains: &snapshot.drains,
        };
        let home = steering::region_of(&snapshot.deployment, &self.domain);
        let home = home.map_or("", |region| &*region.name);
        let limits = share::limits(&snapshot.plan, configuration, &self.vm, home, now);
        let mut old = std::mem::take(&mut self.links);
        for (name, limit) in view.index.regions().iter().zip(&limits.links) {
            let mut link = Link::kept(&mut old, name);
            link.limited = *limit != share::LinkLimit::UNLIMITED;
            set_cap(&mut link.send, limit.send_kbit);
            set_cap(&mut link.receive, limit.receive_kbit);
            self.links.push(link);
        }
    }
}

impl Link {
    fn kept(old: &mut Vec<Link>, name: &Arc<str>) -> Link {
        match old.iter().position(|link| link.name == *name) {
            Some(at) => old.swap_remove(at),
            None => Link {
                name: Arc::clone(name),
                send: Pacer::new(0),
                receive: Pacer::new(0),
                limited: true,
            },
        }
    }
}

// Setting a cap wakes waiters early, so it is left alone while it stays the same.
fn set_cap(pacer: &mut Pacer, cap_kbit: u32) {
    if pacer.cap_kbit() != u64::from(cap_kbit) {
        pacer.set_cap_kbit(u64::from(cap_kbit));
    }
}
