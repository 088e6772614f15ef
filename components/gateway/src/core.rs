//! The state shared by all tasks of the process, which run on one thread.

mod belief;
mod confirmation;
mod fleet;

pub use crate::origin::Origin;
pub use belief::expire;
pub use confirmation::Confirmation;

use crate::health::ColdUpstreams;
use crate::memory::Memory;
use crate::upstreams::Upstreams;
use crate::{Protocol, Settings};
use clock::{Clock, Millis};
use fleet::{BUDGET_SHARE_RETENTION, MEMBER_TIMEOUT};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use steering::catalogue::{Catalogue, Position};
use steering::convergence::Convergence;
use steering::cross_region::Limiter;
use steering::echo::Echoes;
use steering::fairness::Fairness;
use steering::membership::{Member, Members};
use steering::retry_budget::{Budget, Limits};
use steering::routing::{Limits as RequestLimits, Splitter, Table};
use steering::uplink::Uplink;
use steering::uptime::Uptime;
use steering::urgency::Urgency;
use steering::withdrawal::Confirmation as KeyConfirmation;
use tokio::sync::{Notify, watch};

/// Accounts whose requests are counted by name; the others are counted together.
const MAX_ACCOUNT_LABELS: usize = 50;

/// Phases of the process, up to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Normal operation.
    Serving,
    /// Connections and requests are still accepted; each connection is closed after a response.
    Stopping,
    /// Idle connections are closed, and requests that were read are completed.
    Closing,
    /// The time is up; incomplete requests get an error response.
    Ending,
}

/// State shared by all tasks.
pub struct Core {
    /// Settings of this VM, replaced when they are reloaded.
    pub settings: RefCell<Rc<Settings>>,
    /// HTTP conventions of the platform.
    pub protocol: Box<dyn Protocol>,
    /// Source of all times in the state.
    pub clock: Clock,
    /// Start of the process.
    pub started: Millis,
    /// Known configuration, evacuations and upstreams.
    pub catalogue: RefCell<Catalogue>,
    /// The routes of the configuration in force.
    pub table: RefCell<Rc<Table>>,
    /// The idle timeout of callers' connections in the configuration in force. It wakes the
    /// connections that are idle when it changes.
    pub idle_timeout: watch::Sender<Millis>,
    /// Upstreams with this VM's connections and observations.
    pub upstreams: RefCell<Upstreams>,
    /// The other entry VMs.
    pub members: RefCell<Members>,
    /// Whether this VM knows the others well enough to answer look-ups.
    pub convergence: RefCell<Convergence>,
    /// When this VM last sent a round of heartbeats.
    pub last_round: Cell<Millis>,
    /// Stamps of peers' heartbeats, which date the next ones.
    pub echoes: RefCell<Echoes>,
    /// This VM's own membership entry, sent in heartbeats.
    pub own_member: RefCell<Member>,
    /// Limits how fast the share of cross-region requests changes.
    pub cross_region: RefCell<Limiter>,
    /// What is known of the priorities of requests.
    pub urgency: RefCell<Urgency>,
    /// What is known of the accounts' use of services.
    pub fairness: RefCell<Fairness>,
    /// Budget for retries.
    pub retry_budget: RefCell<Budget>,
    /// Chooses among the services of routes with a traffic split.
    pub splitter: RefCell<Splitter>,
    /// Limits the large changes that are sent to peers at a time.
    pub uplink: RefCell<Uplink>,
    /// The newest position of each feed that a peer has.
    pub newest_of_peers: Cell<[Position; 2]>,
    /// The latest span in which the store responded to this VM or its peers without an outage.
    pub store_uptime: Cell<Option<Uptime>>,
    /// When the store last confirmed, directly or through peers, that this VM's copy of each feed
    /// was up to date.
    pub confirmed: Cell<[Option<Confirmation>; 2]>,
    /// Up to when the withdrawals of keys are known.
    pub key_confirmation: Cell<KeyConfirmation>,
    /// Notified when a copy of an era is confirmed that this VM didn't know of.
    pub era_began: Notify,
    /// The accounts that have a label of their own in metrics.
    pub account_labels: RefCell<telemetry::Labels>,
    /// Wakes the heartbeat sender after changes, so that peers receive them at once.
    pub state_changed: Notify,
    /// Upstreams that health checks found to be cold, here or at a peer.
    pub cold_upstreams: RefCell<ColdUpstreams>,
    /// Whether this VM found one that the others are to be told of.
    pub has_cold_news: Cell<bool>,
    /// The current phase of the process.
    pub phase: watch::Sender<Phase>,
    /// When a stopping process must have completed all requests.
    pub stop_deadline: Cell<Option<Millis>>,
    /// Requests that were read and whose response has not begun.
    pub in_flight: Cell<usize>,
    /// The memory of callers' requests and their responses.
    pub memory: Rc<Memory>,
    /// Open connections of callers.
    pub caller_connections: Cell<usize>,
    /// Usage caps of client accounts.
    pub caps: crate::caps::State,
}

impl Core {
    /// The state of a process at its start.
    pub fn new(settings: Settings, protocol: Box<dyn Protocol>, clock: Clock) -> Core {
        let now = clock.now();
        let bounds = settings.bounds;
        let limits = Limits {
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
            counter: 0,
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
            idle_timeout: watch::channel(RequestLimits::default().idle_timeout).0,
            upstreams: RefCell::new(Upstreams::new(&settings)),
            members: RefCell::new(Members::new(
                Arc::clone(&settings.vm),
                MEMBER_TIMEOUT,
                BUDGET_SHARE_RETENTION,
            )),
            convergence: RefCell::new(Convergence::new(now)),
            last_round: Cell::new(now),
            echoes: RefCell::new(Echoes::new(rand::random(), now)),
            own_member: RefCell::new(member),
            cross_region: RefCell::new(Limiter::new(bounds.max_shift, now)),
            urgency: RefCell::default(),
            fairness: RefCell::default(),
            retry_budget: RefCell::new(Budget::new(limits, now)),
            splitter: RefCell::default(),
            uplink: RefCell::default(),
            newest_of_peers: Cell::default(),
            store_uptime: Cell::default(),
            confirmed: Cell::default(),
            key_confirmation: Cell::default(),
            era_began: Notify::new(),
            account_labels: RefCell::new(telemetry::Labels::new(MAX_ACCOUNT_LABELS)),
            state_changed: Notify::new(),
            cold_upstreams: RefCell::default(),
            has_cold_news: Cell::default(),
            phase: watch::channel(Phase::Serving).0,
            stop_deadline: Cell::default(),
            in_flight: Cell::default(),
            memory: Rc::default(),
            caller_connections: Cell::default(),
            caps: crate::caps::State::new(Arc::clone(&settings.vm), now),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts changed settings in force.
    pub fn apply_settings(&self, settings: Settings) {
        self.upstreams.borrow_mut().set_regions(settings.regions.clone());
        *self.settings.borrow_mut() = Rc::new(settings);
        self.refresh_upstreams();
    }

    /// The routes in force.
    pub fn table(&self) -> Rc<Table> {
        Rc::clone(&self.table.borrow())
    }

    /// Whether the process was told to stop.
    pub fn is_stopping(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// When all requests must be complete, if the process was told to stop.
    pub fn stop_deadline(&self) -> Option<Millis> {
        self.stop_deadline.get()
    }

    /// Whether this VM can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalogue.borrow().is_complete()
    }

    /// Whether this VM says in heartbeats that look-ups may name it. One that no longer serves keys
    /// and hears no peer is cut off; while the store is away for all, the VMs still hear each other.
    pub fn is_ready_for_peers(&self) -> bool {
        self.is_ready() && (self.serves_keys() || self.live_count() > 1)
    }
}
