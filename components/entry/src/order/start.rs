use super::claim::Owner;
use super::id::{Id, Prefix};
use super::relay::relay;
use super::run::{Running, run};
use crate::core::Core;
use crate::gate::Pass;
use crate::job::Job;
use caller::{Refusal, Reply};
use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Where an order came from.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another entry VM, which takes this one for the order's home; it isn't relayed again.
    Peer,
}

/// How an order is decided: where it may run, or what is known already.
pub(crate) enum Refused {
    /// The refusal for the caller.
    Error(Error),
    /// The claim is held elsewhere; its holder may know the outcome.
    Elsewhere(Owner),
}

impl From<Error> for Refused {
    fn from(error: Error) -> Refused {
        Refused::Error(error)
    }
}

/// Runs an order at most once, or finds out what became of it.
pub(crate) async fn start(
    core: &Arc<Core>,
    mut job: Job,
    origin: Origin,
    pass: Pass,
) -> Result<Reply, Refusal> {
    let id = job.request.order.take().unwrap_or_else(|| make_id(core));
    job.request.order = Some(Arc::clone(&id));
    let result = route(core, job, &id, origin, pass).await;
    result.map_err(|error| Refusal { order: Some(id), ..Refusal::from(error) })
}

async fn route(
    core: &Arc<Core>,
    job: Job,
    id: &Arc<str>,
    origin: Origin,
    pass: Pass,
) -> Result<Reply, Error> {
    let (expiry, homed) = match core.signer.open(id)? {
        Id::Owned(prefix) if !is_own(core, &prefix) => {
            return relay(core, &job, owner(prefix), origin).await;
        }
        Id::Owned(prefix) => (prefix.issued + core.settings.order_retention, true),
        Id::Unowned => (core.clock.now() + core.settings.order_retention, false),
    };
    let elsewhere = match run_here(core, job.clone(), id, expiry, homed, pass).await {
        Ok(reply) => return Ok(reply),
        Err(Refused::Error(error)) => return Err(error),
        Err(Refused::Elsewhere(owner)) => owner,
    };
    relay(core, &job, elsewhere, origin).await
}

// The order runs in a task of its own, so that its outcome is remembered when the caller goes.
async fn run_here(
    core: &Arc<Core>,
    job: Job,
    id: &Arc<str>,
    expiry: Millis,
    homed: bool,
    pass: Pass,
) -> Result<Reply, Refused> {
    if core.gate.is_leaving() && !core.ledger.knows(id) {
        return Err(Error::new(Kind::Leaving, "this VM is shutting down").into());
    }
    let slot = core.ledger.slot(id, expiry, core.clock.now())?;
    let (head, reply) = oneshot::channel();
    let running = Running { core: Arc::clone(core), job, id: Arc::clone(id), homed, slot, pass };
    tokio::spawn(run(running, head));
    let stopped = || Error::new(Kind::OutcomeUnknown, "the order's task ended").into();
    reply.await.unwrap_or_else(|_| Err(stopped()))
}

fn make_id(core: &Core) -> Arc<str> {
    core.signer.name(&prefix(core), core.random())
}

/// The signed prefix that names the VM `vm` in this incarnation as home.
pub(crate) fn sealed_prefix(core: &Core, vm: &Arc<str>, incarnation: u64) -> String {
    let issued = core.clock.now();
    core.signer.seal(&Prefix { vm: Arc::clone(vm), incarnation, issued })
}

fn prefix(core: &Core) -> Prefix {
    Prefix {
        vm: Arc::clone(&core.settings.vm),
        incarnation: core.settings.incarnation,
        issued: core.clock.now(),
    }
}

fn is_own(core: &Core, prefix: &Prefix) -> bool {
    prefix.vm == core.settings.vm && prefix.incarnation == core.settings.incarnation
}

fn owner(prefix: Prefix) -> Owner {
    Owner { vm: prefix.vm, incarnation: prefix.incarnation }
}
