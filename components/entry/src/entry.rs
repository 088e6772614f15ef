use crate::config::Config;
use crate::core::Core;
use crate::fetch::fetch;
use crate::job::Job;
use crate::order::{self, Claimer, Origin, Owner};
use crate::view::View;
use async_trait::async_trait;
use caller::{Handler, Refusal, Reply, Request, lookup};
use clock::Clock;
use peer::Relay;
use peer::relay::{Home, Order, Outcome};
use platform::Table;
use std::sync::Arc;
use steering::Snapshot;
use upstream::Transport;

/// The data plane of one entry VM; clones are handles to the same one.
#[derive(Clone)]
pub struct Entry {
    pub(crate) core: Arc<Core>,
}

impl Entry {
    /// An entry that refuses everything until its first snapshot is installed.
    ///
    /// It must be made within a Tokio runtime. `seed` decides every random choice.
    pub fn new(
        config: Config,
        clock: Clock,
        seed: u64,
        transport: Arc<dyn Transport>,
        table: Arc<dyn Table>,
        relay: Arc<dyn Relay>,
    ) -> Entry {
        let owner = Owner { vm: Arc::clone(&config.vm), incarnation: config.incarnation };
        let claimer = Claimer::new(table, owner);
        let core = Core::new(config, clock, seed, transport, claimer, relay);
        Entry { core: Arc::new(core) }
    }

    /// Puts `snapshot` in force for requests that arrive from now on.
    pub fn install(&self, snapshot: Arc<Snapshot>) {
        self.core.view.store(Some(Arc::new(View::new(snapshot))));
    }

    /// Shuts down: refuses new work as not run, finishes what is in flight, and ends.
    pub async fn close(self) {
        self.core.gate.leave();
        self.core.gate.wait_idle().await;
        self.core.claimer.stop();
    }

    async fn serve(&self, id: Arc<str>, request: Request) -> Result<Reply, Refusal> {
        let core = &self.core;
        let job = Job::new(id, request, core.view()?, core.clock.now())?;
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
        let view = self.core.view()?;
        view.service(&query.service)?;
        view.check_block(query.block)?;
        let entry =
            |vm: &steering::Vm| lookup::Entry { vm: Arc::clone(&vm.name), address: vm.caller };
        Ok(lookup::Answer {
            entries: view.live().take(3).map(entry).collect(),
            lease_ms: view.snapshot.preset.lease_first.0,
            token: "".into(),
            order_prefix: order::own_prefix(&self.core).into(),
            version: view.snapshot.version,
        })
    }

    async fn forward(&self, request: Request) -> Result<Reply, Refusal> {
        let id = request.id.clone();
        let id = id.unwrap_or_else(|| format!("{:016x}", self.core.random()).into());
        let result = self.serve(Arc::clone(&id), request).await;
        result.map_err(|refusal| Refusal { request: Some(id), ..refusal })
    }
}

#[async_trait]
impl Home for Entry {
    async fn run(&self, order: Order) -> Outcome {
        order::run_relayed(&self.core, order).await
    }
}
