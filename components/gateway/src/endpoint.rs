//! An upstream with its connections and this VM's observations.

use crate::Load;
use crate::pool::Pool;
use crate::statement::Statement;
use clock::Millis;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use steering::routing::Upstream;
use steering::upload;

/// The first ejection; each further failure doubles it.
const MIN_EJECTION: Millis = Millis(500);
const MAX_EJECTION: Millis = Millis(4_000);
/// How long a reported slowdown is used; it changes many times a second.
const SLOWDOWN_VALIDITY: Millis = Millis(800);
/// How long a load report is used; after that, the requests of other VMs it counted are done.
const LOAD_VALIDITY: Millis = Millis(1_500);
/// How long the selection of the senders to a cold upstream is used; the live VMs are known with
/// more delay.
const COLD_SENDER_VALIDITY: Millis = Millis(250);

/// An upstream with its connections and this VM's observations.
#[derive(Debug)]
pub struct Endpoint {
    /// The upstream's entry in the store.
    pub entry: Arc<Upstream>,
    /// The upstream's region; `None` if the settings do not list its failure domain.
    pub region: Option<Arc<str>>,
    /// Idle connections.
    pub pool: RefCell<Pool>,
    /// What the upstream has stated in its responses.
    pub statement: Rc<Statement>,
    /// Requests that the upstream runs at once, by its latest entry.
    slots: Cell<u32>,
    in_flight: Cell<u32>,
    /// Bytes of the bodies of these requests.
    request_bytes: Cell<u64>,
    report: Cell<Option<LoadReport>>,
    consecutive_failures: Cell<u32>,
    ejected_until: Cell<Millis>,
    /// Whether the upstream was ejected and no request has succeeded since.
    half_open: Cell<bool>,
    /// The remaining cold time in the latest entry.
    cold_left: Cell<Millis>,
    cold_until: Cell<Millis>,
    next_cold_request: Cell<Millis>,
    /// Whether this VM sends to the upstream while it is cold, and until when that holds.
    cold_sender: Cell<(Millis, bool)>,
    replaced: Cell<bool>,
    identified_until: Cell<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    at: Millis,
    /// Requests of other VMs.
    others: f64,
    slowdown: f64,
}

/// Counts a request as in flight until dropped, also when the caller disconnects.
#[derive(Debug)]
pub struct InFlight {
    endpoint: Rc<Endpoint>,
    bytes: u64,
}

impl Endpoint {
    /// An endpoint without observations.
    pub fn new(
        entry: Arc<Upstream>,
        region: Option<Arc<str>>,
        statement: Rc<Statement>,
        now: Millis,
    ) -> Endpoint {
        let (slots, cold_left) = (entry.slots, entry.cold_left);
        let cold_until = now + cold_left;
        Endpoint {
            entry,
            region,
            pool: RefCell::default(),
            statement,
            slots: Cell::new(slots),
            in_flight: Cell::default(),
            request_bytes: Cell::default(),
            report: Cell::default(),
            consecutive_failures: Cell::default(),
            ejected_until: Cell::default(),
            half_open: Cell::default(),
            cold_left: Cell::new(cold_left),
            cold_until: Cell::new(if cold_until > now { cold_until } else { Millis::ZERO }),
            next_cold_request: Cell::default(),
            cold_sender: Cell::default(),
            replaced: Cell::default(),
            identified_until: Cell::default(),
        }
    }

    /// The number of requests that the upstream runs at once.
    pub fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// Takes over what the upstream's latest entry changes. It may become cold again at any time;
    /// an entry that only counts down the same cold time arrives late and must not prolong it.
    pub fn apply_entry(&self, entry: &Upstream, now: Millis) {
        self.slots.set(entry.slots);
        if entry.cold_left > self.cold_left.replace(entry.cold_left) {
            self.mark_cold(now + entry.cold_left);
        }
    }

    /// Counts a request with a body of `bytes` that is about to be sent.
    pub fn begin_request(self: &Rc<Endpoint>, bytes: u64) -> InFlight {
        let bytes = upload::counted(bytes);
        self.in_flight.set(self.in_flight.get() + 1);
        self.request_bytes.set(self.request_bytes.get() + bytes);
        InFlight { endpoint: Rc::clone(self), bytes }
    }

    /// Bytes of the bodies of this VM's requests in flight, without those of small ones.
    pub fn request_bytes(&self) -> u64 {
        self.request_bytes.get()
    }

    /// This VM's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Estimated requests in flight and queued, from all VMs.
    pub fn load(&self, now: Millis) -> f64 {
        let others = match self.report.get() {
            Some(report) if now < report.at + LOAD_VALIDITY => report.others,
            _ => 0.0,
        };
        f64::from(self.in_flight.get()) + others
    }

    /// Service time relative to normal; 1 if not known.
    pub fn slowdown(&self, now: Millis) -> f64 {
        match self.report.get() {
            Some(report) if now < report.at + SLOWDOWN_VALIDITY => report.slowdown,
            _ => 1.0,
        }
    }

    /// Stores the load reported with a response.
    pub fn record_load(&self, load: Load, now: Millis) {
        let own = f64::from(self.in_flight.get().saturating_sub(1));
        let others = (f64::from(load.running) + f64::from(load.waiting) - own).max(0.0);
        self.report.set(Some(LoadReport { at: now, others, slowdown: load.slowdown }));
    }

    /// Records a successful response.
    pub fn record_success(&self) {
        self.consecutive_failures.set(0);
        self.half_open.set(false);
    }

    /// Records a failure, `threshold` of which in a row eject the upstream; returns whether this one
    /// does.
    pub fn record_failure(&self, threshold: u32, now: Millis) -> bool {
        let failures = self.consecutive_failures.get() + 1;
        self.consecutive_failures.set(failures);
        if failures < threshold && !self.half_open.get() {
            return false;
        }
        self.half_open.set(true);
        let doublings = failures.saturating_sub(threshold).min(8);
        let span = Millis((MIN_EJECTION.0 << doublings).min(MAX_EJECTION.0));
        self.ejected_until.set(now + span);
        true
    }

    /// Records that the address belongs to the upstream until `until` at least.
    pub fn record_identity(&self, until: Millis) {
        self.identified_until.set(self.identified_until.get().max(until));
    }

    /// Whether the address certainly belongs to the upstream at `now`.
    pub fn is_identified(&self, now: Millis) -> bool {
        now < self.identified_until.get()
    }

    /// Marks that the address belongs to another upstream now.
    pub fn mark_replaced(&self) {
        self.replaced.set(true);
    }

    /// Whether the address belongs to another upstream now.
    pub fn is_replaced(&self) -> bool {
        self.replaced.get()
    }

    /// Whether the upstream is ejected, so that others are preferred.
    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until.get()
    }

    /// Whether the upstream was ejected and no request has succeeded since.
    pub fn is_half_open(&self) -> bool {
        self.half_open.get()
    }

    /// Treats the upstream as cold until `until`, or longer if it already was.
    pub fn mark_cold(&self, until: Millis) {
        self.cold_until.set(self.cold_until.get().max(until));
    }

    /// Whether the upstream is cold and its request rate limited.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until.get()
    }

    /// Whether this VM's rate limit for the cold upstream admits a request now.
    pub fn may_get_cold_request(&self, now: Millis) -> bool {
        now >= self.next_cold_request.get()
    }

    /// Whether this VM is one of those that send to the upstream while it is cold. `select` compares
    /// all live VMs, and is called at long intervals only.
    pub fn is_cold_sender(&self, now: Millis, select: impl FnOnce() -> bool) -> bool {
        let (valid_until, known) = self.cold_sender.get();
        if now < valid_until {
            return known;
        }
        let selected = select();
        self.cold_sender.set((now + COLD_SENDER_VALIDITY, selected));
        selected
    }

    /// Records a request to the cold upstream; the next one may follow after `spacing`.
    pub fn record_cold_request(&self, now: Millis, spacing: Millis) {
        self.next_cold_request.set(now + spacing);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let Endpoint { in_flight, request_bytes, .. } = &*self.endpoint;
        in_flight.set(in_flight.get().saturating_sub(1));
        request_bytes.set(request_bytes.get().saturating_sub(self.bytes));
    }
}
