use crate::gate::Gate;
use crate::limits::{Limits, Way};
use crate::order::{Claimer, Ledger, Signer};
use crate::service::Services;
use crate::settings::Settings;
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

/// What all requests of one entry VM share.
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) relay: Arc<dyn Relay>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) ledger: Ledger,
    pub(crate) claimer: Claimer,
    pub(crate) signer: Signer,
    pub(crate) leases: lease::Key,
    pub(crate) view: ArcSwapOption<View>,
    /// Told whenever an attempt ends, for long requests that wait for a slot.
    pub(crate) freed: Notify,
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
            leases: lease::Key::derive(&settings.peer_key),
            ledger: Ledger::new(settings.orders_max),
            services: Mutex::new(Services::new(Arc::clone(&vm), seed)),
            limits: Mutex::new(Limits::new(vm, domain, clock.now())),
            settings,
            clock,
            transport,
            relay,
            gate: Arc::default(),
            claimer,
            view: ArcSwapOption::empty(),
            freed: Notify::new(),
        }
    }

    /// Puts `view` in force for requests that arrive from now on.
    pub(crate) fn install(&self, view: View) {
        let now = self.clock.now();
        let view = Arc::new(view);
        self.services().update(&view, now);
        self.limits().update(&view, now);
        self.view.store(Some(view));
        self.freed.notify_waiters();
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

    /// Waits until the link to `region` has carried `bytes` more, or says that it can't in time.
    pub(crate) async fn pace(
        &self,
        region: u16,
        way: Way,
        bytes: u64,
        deadline: Millis,
    ) -> Result<(), Late> {
        let mut waiter = Waiter::default();
        let mut left = bytes;
        while left > 0 {
            let now = self.clock.now();
            let taken = self.limits().take(region, way, left, &mut waiter, now);
            match taken {
                Ok(granted) => left -= granted,
                Err(wait) if now + wait >= deadline => return Err(Late),
                Err(wait) => self.clock.sleep(wait).await,
            }
        }
        Ok(())
    }
}

/// The deadline passes before a link has room.
pub(crate) struct Late;
