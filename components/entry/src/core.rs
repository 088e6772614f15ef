use crate::limits::{Direction, Limits};
use crate::order::{Claimer, Ledger, Signer};
use crate::service::Services;
use crate::settings::Settings;
use crate::tracker::RequestTracker;
use crate::view::View;
use arc_swap::ArcSwapOption;
use clock::{Clock, Millis};
use errors::{Error, Kind};
use peer::Relay;
use rand::RngExt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use steering::lease;
use steering::limit::Waiter;
use tokio::sync::Notify;
use upstream::Transport;

/// The state that all requests of one entry VM share.
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) relay: Arc<dyn Relay>,
    pub(crate) tracker: Arc<RequestTracker>,
    pub(crate) ledger: Ledger,
    pub(crate) claimer: Claimer,
    pub(crate) signer: Signer,
    pub(crate) lease_key: lease::Key,
    pub(crate) view: ArcSwapOption<View>,
    /// Notified when an attempt ends or a snapshot is installed; long requests wait for it while
    /// they have no slot.
    pub(crate) slot_freed: Notify,
    services: Mutex<Services>,
    limits: Mutex<Limits>,
}

impl Core {
    pub(crate) fn new(
        settings: Settings,
        clock: Clock,
        seed: u64,
        transport: Arc<dyn Transport>,
        claimer: Claimer,
        relay: Arc<dyn Relay>,
    ) -> Core {
        let (vm, domain) = (Arc::clone(&settings.vm), Arc::clone(&settings.domain));
        Core {
            signer: Signer::new(&settings.peer_key),
            lease_key: lease::Key::derive(&settings.peer_key),
            ledger: Ledger::new(settings.orders_max),
            services: Mutex::new(Services::new(Arc::clone(&vm), seed)),
            limits: Mutex::new(Limits::new(vm, domain, clock.now())),
            settings,
            clock,
            transport,
            relay,
            tracker: Arc::default(),
            claimer,
            view: ArcSwapOption::empty(),
            slot_freed: Notify::new(),
        }
    }

    /// Uses `view` for all requests that arrive from now on.
    pub(crate) fn install(&self, view: View) {
        let now = self.clock.now();
        let view = Arc::new(view);
        self.services().update(&view, now);
        self.limits().update(&view, now);
        self.view.store(Some(view));
        self.slot_freed.notify_waiters();
    }

    pub(crate) fn view(&self) -> Result<Arc<View>, Error> {
        let not_ready = || Error::new(Kind::NotReady, "this VM has no configuration yet");
        self.view.load_full().ok_or_else(not_ready)
    }

    pub(crate) fn services(&self) -> MutexGuard<'_, Services> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> MutexGuard<'_, Limits> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn random(&self) -> u64 {
        self.services().rng.random()
    }

    /// Waits until the limit of the link to `region` admits `bytes`.
    ///
    /// # Errors
    ///
    /// [`DeadlineExceeded`] as soon as the wait would last until `deadline`.
    pub(crate) async fn pace(
        &self,
        region: u16,
        direction: Direction,
        bytes: u64,
        deadline: Millis,
    ) -> Result<(), DeadlineExceeded> {
        let mut waiter = Waiter::default();
        let mut remaining = bytes;
        while remaining > 0 {
            let now = self.clock.now();
            let taken = self.limits().take(region, direction, remaining, &mut waiter, now);
            match taken {
                Ok(granted) => remaining -= granted,
                Err(wait) if now + wait >= deadline => return Err(DeadlineExceeded),
                Err(wait) => self.clock.sleep(wait).await,
            }
        }
        Ok(())
    }
}

/// A link's limit admits the bytes only after the deadline.
pub(crate) struct DeadlineExceeded;
