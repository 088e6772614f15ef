//! Records what callers and upstreams observe, and checks the guarantees against it.

use crate::accounts::Keyring;
use crate::ledger::{Ledger, Received};
use clock::{Clock, Millis};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Time after a disturbance in which guarantees with a time bound aren't checked.
pub const SETTLE_TIME: Millis = Millis(4_000);
/// Tolerance of time bounds for a loaded computer.
const SLACK: Millis = Millis(500);

/// The result of a run.
#[derive(Debug)]
pub struct Summary {
    /// Number of responses by HTTP status.
    pub responses: BTreeMap<u16, u64>,
    /// Reads in the final phase by status, 0 for none.
    pub final_reads: BTreeMap<u16, u64>,
    /// Violated guarantees, each with its time since the start.
    pub violations: Vec<String>,
}

/// Checks one run.
#[derive(Debug)]
pub struct Checker {
    clock: Clock,
    started: Millis,
    /// Checks what concerns client accounts.
    pub ledger: RefCell<Ledger>,
    /// Number of executions by request id.
    executions: RefCell<HashMap<String, u32>>,
    /// Ids of requests that were refused with a status that means they weren't executed.
    not_executed: RefCell<HashSet<String>>,
    responses: RefCell<HashMap<u16, u64>>,
    /// Reads in the final phase by status, 0 for none.
    final_reads: RefCell<BTreeMap<u16, u64>>,
    disturbed_until: Cell<Millis>,
    violations: RefCell<Vec<String>>,
}

impl Checker {
    /// A checker for a run that starts now.
    pub fn new(clock: Clock) -> Checker {
        Checker {
            clock,
            started: clock.now(),
            ledger: RefCell::new(Ledger::new(Keyring::new())),
            executions: RefCell::default(),
            not_executed: RefCell::default(),
            responses: RefCell::default(),
            final_reads: RefCell::default(),
            disturbed_until: Cell::default(),
            violations: RefCell::default(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Millis {
        self.clock.now()
    }

    /// The time since the start of the run.
    pub fn elapsed(&self) -> Millis {
        self.clock.now() - self.started
    }

    /// Records that a fault lasts until `until`.
    pub fn disturb_until(&self, until: Millis) {
        self.disturbed_until.set(self.disturbed_until.get().max(until));
    }

    /// Whether `since` is at least the settling time after the last disturbance.
    pub fn is_settled_since(&self, since: Millis) -> bool {
        self.disturbed_until.get() + SETTLE_TIME <= since
    }

    /// Whether more than `bound` has passed since `since`, undisturbed.
    pub fn is_exceeded(&self, since: Millis, bound: Millis) -> bool {
        self.is_settled_since(since) && self.now() > since + bound + SLACK
    }

    /// Records that a guarantee was violated.
    pub fn report_violation(&self, description: String) {
        let at = self.elapsed();
        self.violations.borrow_mut().push(format!("{:.3} s {description}", at.as_secs_f64()));
    }

    /// Records that an upstream begins to execute a request.
    pub fn record_execution(&self, id: &str, is_order: bool, received: &Received) {
        let is_settled = |since| self.is_settled_since(since);
        let violations =
            self.ledger.borrow_mut().check_execution(id, received, self.now(), is_settled);
        violations.into_iter().for_each(|violation| self.report_violation(violation));
        let times = {
            let mut executions = self.executions.borrow_mut();
            let times = executions.entry(id.to_owned()).or_default();
            *times += 1;
            *times
        };
        if is_order && times > 1 {
            self.report_violation(format!("order {id} was executed {times} times"));
        }
        if self.not_executed.borrow().contains(id) {
            self.report_violation(format!(
                "request {id} was executed after it was refused as not run"
            ));
        }
    }

    /// Whether an upstream has begun to execute a request.
    pub fn was_executed(&self, id: &str) -> bool {
        self.executions.borrow().contains_key(id)
    }

    /// Records the status of a response to a caller; `is_capped` tells whether it refuses the request
    /// for the sake of its account's cap.
    pub fn record_response(&self, id: &str, status: u16, is_capped: bool, is_order: bool) {
        *self.responses.borrow_mut().entry(status).or_default() += 1;
        // VMs that have all just started agree on shares of caps first, as after any disturbance.
        let agreed = self.started + SETTLE_TIME;
        let is_settled = |since| self.is_settled_since(since) && (!is_capped || agreed <= since);
        let ledger = self.ledger.borrow();
        if let Some(violation) = ledger.check_response(id, status, is_capped, is_settled) {
            self.report_violation(violation);
        }
        drop(ledger);
        if matches!(status, 408 | 421 | 429 | 503) {
            self.not_executed.borrow_mut().insert(id.to_owned());
            if is_order && self.was_executed(id) {
                self.report_violation(format!(
                    "order {id} was refused as not run with status {status}, but was executed"
                ));
            }
        }
    }

    /// Records the status of a read in the final phase; 0 if there was no response.
    pub fn record_final_read(&self, status: u16) {
        *self.final_reads.borrow_mut().entry(status).or_default() += 1;
    }

    /// The result so far.
    pub fn summary(&self) -> Summary {
        let responses =
            self.responses.borrow().iter().map(|(status, count)| (*status, *count)).collect();
        let final_reads = self.final_reads.borrow().clone();
        Summary { responses, final_reads, violations: self.violations.borrow().clone() }
    }
}
