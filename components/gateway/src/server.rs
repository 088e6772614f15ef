//! One upstream as this VM knows it.

use crate::Load;
use crate::pool::Pool;
use clock::Millis;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use steering::routing::Upstream;

/// Failures in a row after which an upstream is shunned; one may be bad luck.
const FAILURES: u32 = 2;
/// How long an upstream is shunned at first, and at most; it doubles while it keeps failing.
const SHUN_FIRST: Millis = Millis(500);
/// See [`SHUN_FIRST`].
const SHUN_MOST: Millis = Millis(4_000);
/// How long the slowness of an upstream's VM is believed; it changes many times a second.
const SLOWNESS_LIFE: Millis = Millis(800);
/// How long a load report counts in full; later, others' requests have come and gone.
const LOAD_LIFE: Millis = Millis(1_500);

/// An upstream with this VM's requests, connections and observations.
#[derive(Debug)]
pub struct Server {
    /// The upstream's entry.
    pub entry: Arc<Upstream>,
    /// Its region.
    pub region: Arc<str>,
    /// Its idle connections.
    pub pool: RefCell<Pool>,
    in_flight: Cell<u32>,
    report: Cell<Option<Report>>,
    failures: Cell<u32>,
    shunned_until: Cell<Millis>,
    cold_until: Cell<Millis>,
    next_cold: Cell<Millis>,
    departed: Cell<bool>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Millis,
    others: f64,
    slowness: f64,
}

/// A request in flight at an upstream; it ends when this is dropped, also by a caller that leaves.
#[derive(Debug)]
pub struct Flight(Rc<Server>);

impl Server {
    /// An upstream of which nothing is known but its entry.
    pub fn new(entry: Arc<Upstream>, region: Arc<str>, now: Millis) -> Server {
        let cold_until = now + entry.cold_left;
        Server {
            entry,
            region,
            pool: RefCell::default(),
            in_flight: Cell::default(),
            report: Cell::default(),
            failures: Cell::default(),
            shunned_until: Cell::default(),
            cold_until: Cell::new(if cold_until > now { cold_until } else { Millis::ZERO }),
            next_cold: Cell::default(),
            departed: Cell::default(),
        }
    }

    /// Counts a request that is about to be sent.
    pub fn take_off(self: &Rc<Server>) -> Flight {
        self.in_flight.set(self.in_flight.get() + 1);
        Flight(Rc::clone(self))
    }

    /// This VM's requests there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Requests there, from all VMs, as far as known.
    pub fn load(&self, now: Millis) -> f64 {
        let others = match self.report.get() {
            Some(report) if now < report.at + LOAD_LIFE => report.others,
            _ => 0.0,
        };
        f64::from(self.in_flight.get()) + others
    }

    /// How much longer than usual work takes there; 1 is usual.
    pub fn slowness(&self, now: Millis) -> f64 {
        match self.report.get() {
            Some(report) if now < report.at + SLOWNESS_LIFE => report.slowness,
            _ => 1.0,
        }
    }

    /// Takes in the load that came with an answer.
    pub fn observe(&self, load: Load, now: Millis) {
        let own = f64::from(self.in_flight.get().saturating_sub(1));
        let others = (f64::from(load.running + load.waiting) - own).max(0.0);
        self.report.set(Some(Report { at: now, others, slowness: load.slowdown }));
    }

    /// Notes that it works.
    pub fn succeeded(&self) {
        self.failures.set(0);
    }

    /// Notes a failure; true if the upstream is shunned from now on.
    pub fn failed(&self, now: Millis) -> bool {
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        if failures < FAILURES {
            return false;
        }
        let doublings = (failures - FAILURES).min(8);
        let span = Millis((SHUN_FIRST.0 << doublings).min(SHUN_MOST.0));
        self.shunned_until.set(now + span);
        true
    }

    /// Notes that its address belongs to another upstream now.
    pub fn depart(&self) {
        self.departed.set(true);
    }

    /// Whether its address belongs to another upstream.
    pub fn is_departed(&self) -> bool {
        self.departed.get()
    }

    /// Whether others are preferred.
    pub fn is_shunned(&self, now: Millis) -> bool {
        now < self.shunned_until.get()
    }

    /// Whether it was shunned not long ago and has not answered since.
    pub fn is_suspect(&self) -> bool {
        self.failures.get() >= FAILURES
    }

    /// Treats it as cold until `until`.
    pub fn chill(&self, until: Millis) {
        self.cold_until.set(self.cold_until.get().max(until));
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until.get()
    }

    /// Whether a cold upstream can take a request of this VM now.
    pub fn cold_ready(&self, now: Millis) -> bool {
        now >= self.next_cold.get()
    }

    /// Notes a request to a cold upstream; the next may follow after `spacing`.
    pub fn cold_sent(&self, now: Millis, spacing: Millis) {
        self.next_cold.set(now + spacing);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get().saturating_sub(1));
    }
}
