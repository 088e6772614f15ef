//! Identifies the client account of a request by the key that it carries, and refuses requests
//! without a valid one. See docs/design/accounts.md.

use crate::attempt::Job;
use crate::core::Core;
use crate::reply::Reply;
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::Request;
use std::rc::Rc;
use std::sync::Arc;
use steering::account::Account;
use steering::routing::{Route, Table};

/// `Retry-After` of a VM whose copy of the configuration is too old to tell whether a key is in
/// force. The caller may reach another VM, and this one asks the store more often than this.
const STALE_RETRY_AFTER: Millis = Millis(500);

/// The key fields of a request.
enum Key<'a> {
    None,
    One(&'a Bytes),
    /// The field is empty or repeated.
    Malformed,
}

/// Why a request is refused before anything is done for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The kind of error.
    pub kind: Kind,
    /// The reason in the log line.
    pub reason: &'static str,
    retry_after: Option<Millis>,
}

impl Refusal {
    /// The response.
    pub fn reply(&self) -> Reply {
        metrics::counter!(telemetry::names::REFUSALS, telemetry::names::KIND => self.kind.as_str())
            .increment(1);
        Reply::failure(self.kind, self.retry_after)
    }
}

/// The key that a request was admitted with is in force no longer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Withdrawn;

/// The account that sent a request which arrived at `arrived`; `None` where the configuration has no
/// accounts, and for requests without a key on routes that admit them.
///
/// # Errors
///
/// [`Kind::Unauthorized`] when the key is missing, unknown, empty or repeated, and
/// [`Kind::StaleView`] when this VM's copy of the configuration is too old to tell.
pub fn admit(
    core: &Core,
    table: &Table,
    route: &Route,
    head: &Request,
    arrived: Millis,
) -> Result<Option<Arc<Account>>, Refusal> {
    if table.accounts().is_empty() {
        return Ok(None);
    }
    let account = match key(core, head) {
        Key::None if route.anonymous => return Ok(None),
        Key::None => return Err(unauthorized(core, "no key", arrived)),
        Key::Malformed => return Err(refusal(Kind::Unauthorized, "malformed key")),
        Key::One(key) => table.accounts().find(key),
    };
    let Some(account) = account else {
        return Err(unauthorized(core, "unknown key", arrived));
    };
    let bound = core.settings().bounds.withdrawal;
    match core.key_view().may_run(arrived, bound) {
        true => Ok(Some(Arc::clone(account))),
        false => Err(stale(core, "copy too old to run by a key")),
    }
}

/// The account of `job` in the configuration that is in force now.
///
/// # Errors
///
/// [`Withdrawn`] when the job has an account and none has its key any more.
pub fn current(core: &Core, job: &Job) -> Result<Option<Arc<Account>>, Withdrawn> {
    let table = core.table();
    if Rc::ptr_eq(&table, &job.table) {
        return Ok(job.account.clone());
    }
    let account = match key(core, &job.head) {
        Key::One(key) => table.accounts().find(key).cloned(),
        Key::None | Key::Malformed => None,
    };
    match account {
        None if job.account.is_some() && !table.accounts().is_empty() => Err(Withdrawn),
        account => Ok(account),
    }
}

fn key<'a>(core: &'a Core, head: &'a Request) -> Key<'a> {
    let mut keys = head.headers.all(core.protocol.names().key);
    match (keys.next(), keys.next()) {
        (None, _) => Key::None,
        (Some(key), None) if !key.is_empty() => Key::One(key),
        _ => Key::Malformed,
    }
}

/// A refusal for want of a key that this VM knows. If its copy is too old for the bound on new
/// configurations, the request may be valid.
fn unauthorized(core: &Core, reason: &'static str, arrived: Millis) -> Refusal {
    let bound = core.settings().bounds.configuration;
    match core.key_view().may_refuse(arrived, bound) {
        true => refusal(Kind::Unauthorized, reason),
        false => stale(core, "copy too old to refuse a key"),
    }
}

/// A refusal for want of a route that this VM knows. A process that has just started may have a
/// configuration from a copy of the store that lacks the route.
pub fn unrouted(core: &Core) -> Refusal {
    match core.provisional_span() {
        Millis::ZERO => refusal(Kind::UnknownRoute, "no route"),
        _ => stale(core, "no route in a copy that may lack some"),
    }
}

fn stale(core: &Core, reason: &'static str) -> Refusal {
    let retry_after = Some(STALE_RETRY_AFTER.max(core.provisional_span()));
    Refusal { kind: Kind::StaleView, reason, retry_after }
}

fn refusal(kind: Kind, reason: &'static str) -> Refusal {
    Refusal { kind, reason, retry_after: None }
}
