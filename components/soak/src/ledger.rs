//! What callers and upstreams saw, and the promises that it must keep.

use clock::{Clock, Millis};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Time after a disturbance in which promises with a bound in time don't hold.
const SETTLE: Millis = Millis(4_000);
/// What a loaded machine may add to a bound.
const SLACK: Millis = Millis(500);

/// What came of a run.
#[derive(Debug)]
pub struct Summary {
    /// Answers by status.
    pub answers: BTreeMap<u16, u64>,
    /// Reads that were sent in the calm part.
    pub asked: u64,
    /// Those that were served.
    pub served: u64,
    /// Promises that were broken, with the times.
    pub broken: Vec<String>,
}

/// The record of a run.
#[derive(Debug)]
pub struct Ledger {
    clock: Clock,
    started: Millis,
    runs: RefCell<HashMap<String, u32>>,
    refused: RefCell<HashSet<String>>,
    answers: RefCell<HashMap<u16, u64>>,
    /// Reads that were sent in the last, calm part, and how many were served.
    calm: Cell<(u64, u64)>,
    disturbed_until: Cell<Millis>,
    broken: RefCell<Vec<String>>,
}

impl Ledger {
    /// An empty record.
    pub fn new(clock: Clock) -> Ledger {
        Ledger {
            clock,
            started: clock.now(),
            runs: RefCell::default(),
            refused: RefCell::default(),
            answers: RefCell::default(),
            calm: Cell::default(),
            disturbed_until: Cell::default(),
            broken: RefCell::default(),
        }
    }

    /// The time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Millis {
        self.clock.now() - self.started
    }

    /// Notes that a disturbance lasts until `until`.
    pub fn disturb(&self, until: Millis) {
        self.disturbed_until.set(self.disturbed_until.get().max(until));
    }

    /// Whether nothing has been disturbed since the settling time before `since`.
    pub fn is_calm_since(&self, since: Millis) -> bool {
        self.disturbed_until.get() + SETTLE <= since
    }

    /// Whether a bound that began at `since` is over and held in calm.
    pub fn is_over(&self, since: Millis, bound: Millis) -> bool {
        self.is_calm_since(since) && self.now() > since + bound + SLACK
    }

    /// Notes that a promise was broken.
    pub fn broken(&self, what: String) {
        let at = self.elapsed();
        self.broken.borrow_mut().push(format!("{:.3} s {what}", at.as_secs_f64()));
    }

    /// Notes that an upstream runs a request.
    pub fn runs(&self, id: &str, is_order: bool) {
        let times = {
            let mut runs = self.runs.borrow_mut();
            let times = runs.entry(id.to_owned()).or_default();
            *times += 1;
            *times
        };
        if is_order && times > 1 {
            self.broken(format!("order {id} runs {times} times"));
        }
        if self.refused.borrow().contains(id) {
            self.broken(format!("request {id} runs after it was refused as not run"));
        }
    }

    /// Whether an upstream ran a request.
    pub fn has_run(&self, id: &str) -> bool {
        self.runs.borrow().contains_key(id)
    }

    /// Notes the status that a caller got.
    pub fn answered(&self, id: &str, status: u16, is_order: bool) {
        *self.answers.borrow_mut().entry(status).or_default() += 1;
        if matches!(status, 408 | 421 | 429 | 503) {
            self.refused.borrow_mut().insert(id.to_owned());
            if is_order && self.has_run(id) {
                self.broken(format!("order {id} was refused with {status} and has run"));
            }
        }
    }

    /// Notes whether a read in the last, calm part was served.
    pub fn recovered(&self, served: bool) {
        let (sent, well) = self.calm.get();
        self.calm.set((sent + 1, well + u64::from(served)));
    }

    /// What there is so far.
    pub fn summary(&self) -> Summary {
        let answers =
            self.answers.borrow().iter().map(|(status, count)| (*status, *count)).collect();
        let (asked, served) = self.calm.get();
        Summary { answers, asked, served, broken: self.broken.borrow().clone() }
    }
}
