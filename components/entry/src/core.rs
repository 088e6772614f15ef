use crate::config::Config;
use crate::gate::Gate;
use crate::job::Job;
use crate::order::{Claimer, Ledger, Signer};
use crate::pool::{Choice, Pool};
use crate::view::View;
use arc_swap::ArcSwapOption;
use clock::Clock;
use errors::{Error, Kind};
use peer::Relay;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use upstream::Transport;

/// What all requests of one entry VM share.
pub(crate) struct Core {
    pub(crate) config: Config,
    pub(crate) clock: Clock,
    pub(crate) transport: Arc<dyn Transport>,
    pub(crate) relay: Arc<dyn Relay>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) ledger: Ledger,
    pub(crate) claimer: Claimer,
    pub(crate) signer: Signer,
    pub(crate) view: ArcSwapOption<View>,
    pool: Mutex<Pool>,
    rng: Mutex<StdRng>,
}

impl Core {
    pub(crate) fn new(
        config: Config,
        clock: Clock,
        seed: u64,
        transport: Arc<dyn Transport>,
        claimer: Claimer,
        relay: Arc<dyn Relay>,
    ) -> Core {
        Core {
            signer: Signer::new(&config.peer_key),
            ledger: Ledger::new(config.orders),
            config,
            clock,
            transport,
            relay,
            gate: Arc::default(),
            claimer,
            view: ArcSwapOption::empty(),
            pool: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
        }
    }

    pub(crate) fn view(&self) -> Result<Arc<View>, Error> {
        let not_ready = || Error::new(Kind::NotReady, "this VM has no configuration yet");
        self.view.load_full().ok_or_else(not_ready)
    }

    pub(crate) fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn random(&self) -> u64 {
        self.rng.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    pub(crate) fn choose(&self, job: &Job, tried: &[Arc<str>]) -> Result<Choice, Error> {
        let own = job.view.region(&self.config.domain);
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        self.pool().choose(job, own, tried, &mut rng)
    }
}
