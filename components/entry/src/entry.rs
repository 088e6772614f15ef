use crate::background::BackgroundTasks;
use crate::core::Core;
use crate::fetch::fetch;
use crate::job::Job;
use crate::look_up::look_up;
use crate::order::{self, Claimer, Origin, Owner};
use crate::settings::Settings;
use crate::trace;
use crate::view::View;
use async_trait::async_trait;
use caller::{Handler, Refusal, Reply, Request, lookup};
use clock::Clock;
use peer::Relay;
use peer::relay::{Executor, Order, Outcome};
use std::sync::Arc;
use steering::Snapshot;
use store::Table;
use upstream::Transport;

/// The data plane of one entry VM. Clones share its state.
#[derive(Clone)]
pub struct Entry {
    pub(crate) core: Arc<Core>,
    background: Arc<BackgroundTasks>,
}

impl Entry {
    /// Creates an entry that refuses all requests until a snapshot is installed.
    ///
    /// Must be called within a Tokio runtime, since it spawns tasks. All random choices follow from
    /// `seed`.
    pub fn new(
        settings: Settings,
        clock: Clock,
        seed: u64,
        transport: Arc<dyn Transport>,
        table: Arc<dyn Table>,
        relay: Arc<dyn Relay>,
    ) -> Entry {
        let owner = Owner { vm: Arc::clone(&settings.vm), incarnation: settings.incarnation };
        let claimer = Claimer::new(table, owner);
        let core = Arc::new(Core::new(settings, clock, seed, transport, claimer, relay));
        let background = Arc::new(BackgroundTasks::new(&core));
        Entry { core, background }
    }

    /// Uses `snapshot` for all requests that arrive from now on.
    pub fn install(&self, snapshot: Arc<Snapshot>) {
        self.core.install(View::new(snapshot, &self.core.settings.domain));
    }

    /// Shuts down gracefully: refuses new requests as not run and returns once those in flight have
    /// ended.
    pub async fn close(self) {
        self.core.tracker.start_shutdown();
        self.core.tracker.wait_idle().await;
        self.background.stop();
        self.core.claimer.stop();
    }

    async fn serve(&self, id: Arc<str>, request: Request) -> Result<Reply, Refusal> {
        let core = &self.core;
        let job = Job::new(core, id, request)?;
        if !job.request.idempotent {
            let guard = core.tracker.enter_during_shutdown();
            return order::start(core, job, Origin::Caller, guard).await;
        }
        let guard = core.tracker.enter()?;
        fetch(core, job, guard).await
    }
}

#[async_trait]
impl Handler for Entry {
    fn look_up(&self, query: &lookup::Query) -> Result<lookup::Response, Refusal> {
        look_up(&self.core, query).map_err(|error| {
            trace::refused(&self.core, "", query.block, &query.service, &error);
            error.into()
        })
    }

    async fn forward(&self, request: Request) -> Result<Reply, Refusal> {
        let id = request.id.clone();
        let id = id.unwrap_or_else(|| format!("{:016x}", self.core.random()).into());
        let (service, block) = (Arc::clone(&request.service), request.block);
        let result = self.serve(Arc::clone(&id), request).await;
        result.map_err(|refusal| {
            trace::refused(&self.core, &id, block, &service, &refusal.error);
            Refusal { request: Some(id), ..refusal }
        })
    }
}

#[async_trait]
impl Executor for Entry {
    async fn run(&self, order: Order) -> Outcome {
        order::run_relayed(&self.core, order).await
    }
}
