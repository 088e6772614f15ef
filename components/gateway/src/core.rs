//! The state that all tasks of a process share; they run on one thread.

use crate::fleet::Fleet;
use crate::{Protocol, Settings};
use clock::{Clock, Millis};
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::rc::Rc;
use std::sync::Arc;
use steering::catalogue::{Batch, Catalogue, Feed};
use steering::cross_region::Limiter;
use steering::membership::{Member, Members};
use steering::readers;
use steering::retry_budget::{Budget, Limits};
use steering::routing::{Splitter, Table};
use steering::uptime::Uptime;
use tokio::sync::{Notify, watch};

/// Time without a heartbeat after which a VM counts as dead: several heartbeats may be lost, and
/// a look-up must not name a dead VM for longer than the settling time and 3 s.
const SILENCE: Millis = Millis(3_000);
/// Time for which a dead VM still counts as one that shares a budget.
const MEMORY: Millis = Millis::from_secs(15);
/// Time that a leaving upstream's bound keeps for the spread of the news and requests on their way.
const LAPSE_MARGIN: Millis = Millis(700);
/// Time after an outage of the store within which entries that lapsed come back.
const COMES_BACK: Millis = Millis(2_500);
/// How often a process looks for lapsed upstreams; none lapses for less than the drain bound.
const EXPIRY_STEP: Millis = Millis(500);

/// How far a process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves.
    Serving,
    /// It still takes connections and requests, and ends each connection after an answer.
    Stopping,
    /// It closes idle connections and finishes what it has.
    Closing,
    /// Its time is up; what is unfinished is answered as such.
    Ending,
}

/// The shared state.
pub struct Core {
    /// What the VM was told about itself.
    pub settings: RefCell<Rc<Settings>>,
    /// How callers and upstreams speak.
    pub protocol: Box<dyn Protocol>,
    /// The time.
    pub clock: Clock,
    /// When the process started.
    pub started: Millis,
    /// Configuration, evacuations and upstreams.
    pub catalogue: RefCell<Catalogue>,
    /// The routes of the configuration in force.
    pub table: RefCell<Rc<Table>>,
    /// The upstreams with what this VM knows of them.
    pub fleet: RefCell<Fleet>,
    /// The entry VMs.
    pub members: RefCell<Members>,
    /// This VM as its neighbours see it.
    pub member: RefCell<Member>,
    /// The share of requests that run in other regions.
    pub crossing: RefCell<Limiter>,
    /// Repeats.
    pub repeats: RefCell<Budget>,
    /// Shares of split routes.
    pub splitter: RefCell<Splitter>,
    /// When the store last answered, by feed.
    pub store_answered: Cell<[Option<Millis>; 2]>,
    /// Since when the store has answered this VM or its neighbours without an outage.
    pub contact: Cell<Option<Uptime>>,
    /// When the store last confirmed what this VM knows of each feed, directly or by neighbours.
    pub confirmed: Cell<[Option<Millis>; 2]>,
    /// Wakes the sender of heartbeats when there is news.
    pub news: Notify,
    /// Whether the process is stopping.
    pub stopping: watch::Sender<Phase>,
    /// When a stopping process has to be done.
    pub ends_at: Cell<Option<Millis>>,
    /// Requests that were read and are not answered yet.
    pub in_flight: Cell<usize>,
    /// Bytes of bodies that are held.
    pub held_bytes: Cell<u64>,
    /// Connections of callers.
    pub connections: Cell<usize>,
}

/// Drops lapsed upstreams at the moment at which they count as gone, while the process lives.
pub async fn expire(core: Rc<Core>) {
    loop {
        let step = core.clock.now() + EXPIRY_STEP;
        let next = core.catalogue.borrow().next_expiry();
        core.clock.sleep_until(next.map_or(step, |next| next.min(step))).await;
        core.expire();
    }
}

impl Core {
    /// The state of a process that starts now.
    pub fn new(settings: Settings, protocol: Box<dyn Protocol>, clock: Clock) -> Core {
        let now = clock.now();
        let bounds = settings.bounds;
        let terms = Limits {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            allowance: bounds.retry_allowance,
        };
        let member = Member {
            vm: Arc::clone(&settings.vm),
            domain: Arc::clone(&settings.domain),
            callers: settings.listen.callers,
            changes: settings.listen.changes,
            heartbeats: settings.listen.heartbeats,
            incarnation: now.0,
            beat: 0,
            ready: false,
            millicores: settings.millicores,
            link_mbps: settings.link_mbps,
            pressed: false,
        };
        Core {
            protocol,
            clock,
            started: now,
            catalogue: RefCell::default(),
            table: RefCell::default(),
            fleet: RefCell::new(Fleet::new(&settings)),
            members: RefCell::new(Members::new(Arc::clone(&settings.vm), SILENCE, MEMORY)),
            member: RefCell::new(member),
            crossing: RefCell::new(Limiter::new(bounds.max_shift, now)),
            repeats: RefCell::new(Budget::new(terms, now)),
            splitter: RefCell::default(),
            store_answered: Cell::default(),
            contact: Cell::default(),
            confirmed: Cell::default(),
            news: Notify::new(),
            stopping: watch::channel(Phase::Serving).0,
            ends_at: Cell::default(),
            in_flight: Cell::default(),
            held_bytes: Cell::default(),
            connections: Cell::default(),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// The VM's settings.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The routes in force.
    pub fn table(&self) -> Rc<Table> {
        Rc::clone(&self.table.borrow())
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow() != Phase::Serving
    }

    /// When the process has to be done, if it was told to stop.
    pub fn ends_at(&self) -> Option<Millis> {
        self.ends_at.get()
    }

    /// Whether callers can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalogue.borrow().is_complete()
    }

    /// The number of VMs that may send to upstreams, this one included.
    pub fn vms(&self) -> usize {
        self.members.borrow().recent(self.clock.now()) + 1
    }

    /// Takes in changes and puts them in force.
    pub fn apply(&self, batch: Batch, from: &str) {
        let now = self.clock.now();
        let feed = batch.feed;
        let lapse = self.settings().bounds.drain - LAPSE_MARGIN;
        // An upstream's new address or slots are no event, but have to be put in force as well.
        let changes = batch.full || !batch.changes.is_empty();
        let events = self.catalogue.borrow_mut().apply(batch, now, lapse);
        crate::trace::events(&events, from);
        if changes {
            self.refresh(feed);
            self.news.notify_one();
        }
    }

    /// Drops upstreams whose entries lapsed and stayed away.
    fn expire(&self) {
        let events = self.catalogue.borrow_mut().expire(self.clock.now());
        crate::trace::events(&events, "expiry");
        if !events.is_empty() {
            self.refresh(Feed::Upstreams);
        }
    }

    /// Notes that the store answered for `feed`.
    pub fn store_answers(&self, feed: Feed) {
        let mut answered = self.store_answered.get();
        answered[feed as usize] = Some(self.clock.now());
        self.store_answered.set(answered);
        self.confirm(feed, self.clock.now());
        self.heard(Uptime::at(self.clock.now()));
    }

    /// Notes when the store answered this VM or a neighbour. What vanishes soon after an outage may
    /// have lapsed in it.
    pub fn heard(&self, contact: Uptime) {
        let Some(known) = self.contact.get() else {
            self.contact.set(Some(contact));
            return;
        };
        let merged = known.merge(contact, self.settings().bounds.renewal_interval);
        self.contact.set(Some(merged));
        let until = merged.start + COMES_BACK;
        match merged.start.cmp(&known.start) {
            Ordering::Greater => self.catalogue.borrow_mut().begin_outage_grace(until),
            Ordering::Less => self.catalogue.borrow_mut().end_outage_grace(until),
            Ordering::Equal => {}
        }
    }

    /// Notes that what this VM knows of `feed` was all there was at `when`.
    pub fn confirm(&self, feed: Feed, when: Millis) {
        let mut confirmed = self.confirmed.get();
        confirmed[feed as usize] = confirmed[feed as usize].max(Some(when));
        self.confirmed.set(confirmed);
    }

    /// How long ago what this VM knows of `feed` was confirmed.
    pub fn confirmed_age(&self, feed: Feed) -> Option<Millis> {
        self.confirmed.get()[feed as usize].map(|when| self.clock.now() - when)
    }

    /// Whether this VM follows `feed` at the store.
    pub fn reads(&self, feed: Feed) -> bool {
        if !self.catalogue.borrow().is_listed(feed) {
            return true;
        }
        let now = self.clock.now();
        let settings = self.settings();
        let members = self.members.borrow();
        let near = members.alive(now).filter(|member| {
            settings.regions.get(&member.domain).is_some_and(|region| *region == settings.region)
        });
        let near = near.map(|member| member.vm.as_ref());
        let fleet = members.alive(now).count() + 1;
        readers::is_reader(&settings.vm, near, fleet, self.confirmed_age(feed))
    }

    /// When the store last answered for `feed`.
    pub fn store_answered(&self, feed: Feed) -> Option<Millis> {
        self.store_answered.get()[feed as usize]
    }

    fn refresh(&self, feed: Feed) {
        let catalogue = self.catalogue.borrow();
        if feed == Feed::Operators {
            let version = catalogue.configuration().map(|configuration| configuration.version);
            if version != Some(self.table().version())
                && let Some(configuration) = catalogue.configuration()
            {
                *self.table.borrow_mut() = Rc::new(Table::new(configuration));
                self.splitter.borrow_mut().reset();
            }
        }
        self.fleet.borrow_mut().update(&catalogue, &self.table(), self.clock.now());
    }
}
