//! Enforces the usage caps of client accounts over all VMs. See docs/design/caps.md.

mod exchange;
mod term;

pub use exchange::{address, receive, report};
pub use term::keep_term;

use crate::core::Core;
use crate::reporting;
use clock::Millis;
use errors::Kind;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use steering::account::Account;
use steering::cap::{Award, Duty, Holder, Limit, Tolerance, key};
use steering::routing::Table;
use tokio::sync::{Notify, oneshot};
use tokio::time::timeout;

/// After which time a token is asked for once more, as the message may be lost or the reserve closed.
const REPEAT_INTERVAL: Millis = Millis(150);
/// The least and the most time for which a request waits for a token while no coordinator answers
/// or its reserve is closed.
const MIN_PATIENCE: Millis = Millis(400);
const MAX_PATIENCE: Millis = Millis(1_500);
/// `Retry-After` while no coordinator answers.
const UNANSWERED_PAUSE: Millis = Millis(600);

/// Why a request is refused, and the time after which it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// [`Kind::CapExceeded`], or [`Kind::CapUnknown`] if no coordinator could tell in time.
    pub kind: Kind,
    /// The value of `Retry-After`.
    pub pause: Millis,
}
/// Bits of an incarnation that count the times that a process's shares lapsed.
const LAPSE_BITS: u32 = 16;

/// Requests that wait for a token, by account.
type Waiting = HashMap<u64, Vec<oneshot::Sender<Result<(), Millis>>>>;

/// The coordinator that this VM follows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Leader {
    epoch: u64,
    vm: Arc<str>,
    /// Where it gets messages.
    address: SocketAddr,
}

/// The state of the usage caps.
#[derive(Debug)]
pub struct State {
    holder: RefCell<Holder>,
    duty: RefCell<Option<Duty>>,
    leader: RefCell<Option<Leader>>,
    waiting: RefCell<Waiting>,
    /// Wakes the task that sends reports.
    urgent: Notify,
    /// Whether a VM took this one for the coordinator.
    is_summoned: Cell<bool>,
    /// The epoch of a coordinator that is about to stop.
    resigned: Cell<u64>,
    /// Whether there is a row to agree by; without one, caps are not enforced.
    is_enforced: Cell<bool>,
    /// The configuration whose limits are in force.
    table: RefCell<Option<Rc<Table>>>,
}

impl State {
    /// The state of a process of `vm` that starts at `now`.
    pub fn new(vm: Arc<str>, now: Millis) -> State {
        State {
            holder: RefCell::new(Holder::new(vm, now.0 << LAPSE_BITS, now)),
            duty: RefCell::default(),
            leader: RefCell::default(),
            waiting: RefCell::default(),
            urgent: Notify::new(),
            is_summoned: Cell::default(),
            resigned: Cell::default(),
            is_enforced: Cell::default(),
            table: RefCell::default(),
        }
    }

    /// Enforces caps from now on.
    pub fn enforce(&self) {
        self.is_enforced.set(true);
    }

    /// Follows the coordinator of `epoch`, unless a later one is known.
    fn follow(&self, leader: Leader) {
        let epoch = leader.epoch;
        let is_known = self.leader.borrow().as_ref().is_some_and(|leader| leader.epoch >= epoch);
        if is_known || epoch < self.holder.borrow().epoch() {
            return;
        }
        self.holder.borrow_mut().follow(epoch);
        let is_older = |duty: &Duty| duty.row().epoch < epoch;
        if self.duty.borrow().as_ref().is_some_and(is_older) {
            *self.duty.borrow_mut() = None;
        }
        log::info!(
            target: "caps", epoch = epoch, coordinator = leader.vm.as_ref();
            "following a coordinator of the usage caps"
        );
        *self.leader.borrow_mut() = Some(leader);
        // It may only serve once it has heard all VMs.
        self.urgent.notify_one();
    }

    /// Lets requests that wait find out whether there is still something to wait for.
    fn wake_waiting(&self) {
        self.waiting.borrow_mut().clear();
    }

    /// Decides requests that wait.
    fn award(&self, awards: Vec<Award>, now: Millis) {
        let mut waiting = self.waiting.borrow_mut();
        for award in awards {
            let requests = waiting.entry(award.key).or_default();
            requests.retain(|request| !request.is_closed());
            let admitted = requests.len().min(award.count as usize);
            self.holder.borrow_mut().keep(&award, award.count - admitted as u32, now);
            for request in requests.drain(..admitted) {
                // One whose caller has left meanwhile wastes its token.
                let _ = request.send(Ok(()));
            }
            if let Some(pause) = award.pause {
                requests.drain(..).for_each(|request| {
                    let _ = request.send(Err(pause));
                });
            }
            if requests.is_empty() {
                waiting.remove(&award.key);
            }
        }
    }
}

/// Admits a request of `account` under its cap, before any work is done for it. While it can't be
/// told whether the cap is reached, the request waits for a part of its `objective`, and not beyond
/// `deadline`; not at all if the coordinator can't tell until then.
///
/// # Errors
///
/// The [`Refusal`] when the cap is reached, or that can't be told in time.
pub async fn admit(
    core: &Core,
    account: &Account,
    objective: Millis,
    deadline: Millis,
) -> Result<(), Refusal> {
    let caps = &core.caps;
    if !caps.is_enforced.get() || account.rate <= 0.0 {
        return Ok(());
    }
    refresh(core);
    let key = key(&account.name);
    if caps.holder.borrow_mut().admit(key, core.clock.now()) {
        return Ok(());
    }
    let patience = Millis(objective.0 / 2).clamp(MIN_PATIENCE, MAX_PATIENCE);
    let result = wait(core, key, deadline.min(core.clock.now() + patience)).await;
    if let Err(refusal) = result {
        let holder = caps.holder.borrow();
        reporting::cap_refused(account, holder.share(key), holder.epoch(), refusal);
    }
    result
}

/// Admits another send of a request that may have run already.
pub fn admit_again(core: &Core, account: Option<&Arc<Account>>) -> bool {
    let Some(account) = account.filter(|account| account.rate > 0.0) else { return true };
    let caps = &core.caps;
    let now = core.clock.now();
    !caps.is_enforced.get() || caps.holder.borrow_mut().admit_again(key(&account.name), now)
}

/// Waits for a token of the coordinator's reserve until `until`.
async fn wait(core: &Core, key: u64, until: Millis) -> Result<(), Refusal> {
    let caps = &core.caps;
    let exceeded = |pause| Refusal { kind: Kind::CapExceeded, pause };
    loop {
        let now = core.clock.now();
        if now >= until {
            return Err(Refusal { kind: Kind::CapUnknown, pause: UNANSWERED_PAUSE });
        }
        let closed_until = caps.holder.borrow().closed_until();
        if until <= closed_until {
            return Err(Refusal { kind: Kind::CapUnknown, pause: closed_until - now });
        }
        caps.holder.borrow_mut().wait(key, now).map_err(exceeded)?;
        let (sender, receiver) = oneshot::channel();
        caps.waiting.borrow_mut().entry(key).or_default().push(sender);
        caps.urgent.notify_one();
        let span = REPEAT_INTERVAL.min(until - now);
        if let Ok(Ok(result)) = timeout(span.duration(), receiver).await {
            return result.map_err(exceeded);
        }
    }
}

/// Puts the limits of the configuration in force if it is a new one.
fn refresh(core: &Core) {
    let (caps, table, now) = (&core.caps, core.table(), core.clock.now());
    if caps.table.borrow().as_ref().is_some_and(|known| Rc::ptr_eq(known, &table)) {
        return;
    }
    *caps.table.borrow_mut() = Some(table);
    let limits = limits(core);
    if let Some(duty) = caps.duty.borrow_mut().as_mut() {
        duty.configure(limits.iter().copied(), now);
    }
    caps.holder.borrow_mut().configure(limits, now);
}

/// The order of VMs by which the coordinator is chosen.
fn rank(millicores: u32, vm: &str) -> (u32, u64) {
    (millicores, key(vm))
}

/// The limits of the configuration in force.
fn limits(core: &Core) -> Vec<(u64, Limit)> {
    let bounds = core.settings().bounds.caps;
    let tolerance =
        Tolerance { window: bounds.window, overage: bounds.overage, allowance: bounds.allowance };
    let catalogue = core.catalogue.borrow();
    let accounts = catalogue.configuration().map(|each| each.accounts.as_slice());
    let limit =
        |account: &Arc<Account>| Some((key(&account.name), Limit::new(account, tolerance)?));
    accounts.unwrap_or_default().iter().filter_map(limit).collect()
}
