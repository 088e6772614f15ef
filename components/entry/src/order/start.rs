use super::claim::Owner;
use super::id::{Id, Prefix};
use super::relay::relay;
use super::run::{Task, run};
use crate::core::Core;
use crate::job::Job;
use crate::tracker::RequestGuard;
use caller::{Refusal, Reply};
use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;
use tokio::sync::oneshot;

/// Who sent an order to this VM.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another entry VM, which takes this VM for the owner; the order is not relayed again.
    Peer,
}

/// Why an order did not run here.
pub(crate) enum RunError {
    /// It is refused with this error.
    Refused(Error),
    /// Another incarnation holds the claim, and may know the outcome.
    OwnedElsewhere(Owner),
}

impl From<Error> for RunError {
    fn from(error: Error) -> RunError {
        RunError::Refused(error)
    }
}

/// Runs an order, or returns the outcome of an earlier attempt at it.
pub(crate) async fn start(
    core: &Arc<Core>,
    mut job: Job,
    origin: Origin,
    guard: RequestGuard,
) -> Result<Reply, Refusal> {
    let id = job.request.order.take().unwrap_or_else(|| new_id(core));
    job.request.order = Some(Arc::clone(&id));
    let result = run_or_relay(core, job, &id, origin, guard).await;
    result.map_err(|error| Refusal { order: Some(id), ..Refusal::from(error) })
}

async fn run_or_relay(
    core: &Arc<Core>,
    job: Job,
    id: &Arc<str>,
    origin: Origin,
    guard: RequestGuard,
) -> Result<Reply, Error> {
    let (expiry, owned) = match core.signer.parse(id)? {
        Id::Owned(prefix) if !is_own(core, &prefix) => {
            return relay(core, &job, owner_of(prefix), origin).await;
        }
        Id::Owned(prefix) => (prefix.issued + core.settings.order_retention, true),
        Id::Unowned => (core.clock.now() + core.settings.order_retention, false),
    };
    let owner = match run_here(core, job.clone(), id, expiry, owned, guard).await {
        Ok(reply) => return Ok(reply),
        Err(RunError::Refused(error)) => return Err(error),
        Err(RunError::OwnedElsewhere(owner)) => owner,
    };
    relay(core, &job, owner, origin).await
}

// The order runs in its own task, so that its outcome is recorded even if the caller disconnects.
async fn run_here(
    core: &Arc<Core>,
    job: Job,
    id: &Arc<str>,
    expiry: Millis,
    owned: bool,
    guard: RequestGuard,
) -> Result<Reply, RunError> {
    if core.tracker.is_shutting_down() && !core.ledger.contains(id) {
        return Err(Error::new(Kind::Leaving, "this VM is shutting down").into());
    }
    let record = core.ledger.record(id, expiry, core.clock.now())?;
    let (sender, reply) = oneshot::channel();
    let task = Task { core: Arc::clone(core), job, id: Arc::clone(id), owned, record, guard };
    tokio::spawn(run(task, sender));
    let stopped = || Error::new(Kind::OutcomeUnknown, "the order's task has stopped").into();
    reply.await.unwrap_or_else(|_| Err(stopped()))
}

fn new_id(core: &Core) -> Arc<str> {
    core.signer.id(&own_prefix(core), core.random())
}

/// A signed prefix that names this incarnation of `vm` as the owner.
pub(crate) fn signed_prefix(core: &Core, vm: &Arc<str>, incarnation: u64) -> String {
    let issued = core.clock.now();
    core.signer.sign(&Prefix { vm: Arc::clone(vm), incarnation, issued })
}

fn own_prefix(core: &Core) -> Prefix {
    Prefix {
        vm: Arc::clone(&core.settings.vm),
        incarnation: core.settings.incarnation,
        issued: core.clock.now(),
    }
}

fn is_own(core: &Core, prefix: &Prefix) -> bool {
    prefix.vm == core.settings.vm && prefix.incarnation == core.settings.incarnation
}

fn owner_of(prefix: Prefix) -> Owner {
    Owner { vm: prefix.vm, incarnation: prefix.incarnation }
}
