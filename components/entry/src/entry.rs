use crate::core::Core;
use crate::fetch::fetch;
use crate::job::Job;
use crate::look_up::look_up;
use crate::order::{self, Claimer, Origin, Owner};
use crate::poll::Poller;
use crate::settings::Settings;
use crate::trace;
use crate::view::View;
use async_trait::async_trait;
use caller::{Handler, Refusal, Reply, Request, lookup};
use clock::Clock;
use peer::Relay;
use peer::relay::{Home, Order, Outcome};
use std::sync::Arc;
use steering::Snapshot;
use store::Table;
use upstream::Transport;

/// The data plane of one entry VM; clones are handles to the same one.
#[derive(Clone)]
pub struct Entry {
    pub(crate) core: Arc<Core>,
    poller: Arc<Poller>,
}

impl Entry {
    /// An entry that refuses everything until its first snapshot is installed.
    ///
    /// It must be made within a Tokio runtime. `seed` decides every random choice.
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
        let poller = Arc::new(Poller::new(&core));
        Entry { core, poller }
    }

    /// Puts `snapshot` in force for requests that arrive from now on.
    pub fn install(&self, snapshot: Arc<Snapshot>) {
        self.core.install(View::new(snapshot, &self.core.settings.domain));
    }

    /// Shuts down: refuses new work as not run, finishes what is in flight, and ends.
    pub async fn close(self) {
        self.core.gate.leave();
        self.core.gate.wait_idle().await;
        self.poller.stop();
        self.core.claimer.stop();
    }

    async fn serve(&self, id: Arc<str>, request: Request) -> Result<Reply, Refusal> {
        let core = &self.core;
        let job = Job::new(core, id, request)?;
        if !job.request.idempotent {
            let pass = core.gate.enter_leaving();
            return order::start(core, job, Origin::Caller, pass).await;
        }
        let pass = core.gate.enter()?;
        fetch(core, job, pass).await
    }
}

#[async_trait]
impl Handler for Entry {
    fn look_up(&self, query: &lookup::Query) -> Result<lookup::Answer, Refusal> {
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
impl Home for Entry {
    async fn run(&self, order: Order) -> Outcome {
        order::run_relayed(&self.core, order).await
    }
}
