//! Forwards a caller's request: route, placement, attempts, response.

mod attempts;

use crate::accounts;
use crate::attempt::{self, Job};
use crate::caps;
use crate::core::Core;
use crate::reply::Reply;
use crate::reporting;
use crate::upload::Content;
use attempts::Attempts;
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::Request;
use std::rc::Rc;
use std::sync::Arc;
use steering::catalogue::Feed;
use steering::routing::{AllowedRegions, Route};
use tokio::sync::watch;

/// Deadline of requests whose caller gives none.
const DEFAULT_DEADLINE: Millis = Millis::from_secs(30);
const MIN_RETRY_AFTER: Millis = Millis(100);
/// A stopping VM accepts a request only if its mean service time ends this long before the process
/// does, since a queue at the upstream may multiply the service time.
const STOP_MARGIN: Millis = Millis(2_000);
/// `Retry-After` of a VM that has not read the store yet, which takes a fraction of it.
const NOT_READY_RETRY_AFTER: Millis = Millis(250);

/// What is collected for the log record of a request.
#[derive(Debug, Default)]
struct Progress {
    route: Arc<str>,
    service: Arc<str>,
    regions: String,
    upstream: Arc<str>,
    upstream_region: Arc<str>,
    reason: &'static str,
    account: Arc<str>,
    priority: u32,
    sent_attempts: u32,
    version: u64,
}

/// Forwards a request that arrived at `arrived` and returns the response to it.
/// `disconnected` tells when its caller disconnects.
pub async fn forward(
    core: &Rc<Core>,
    head: Request,
    body: Content,
    arrived: Millis,
    disconnected: watch::Receiver<bool>,
) -> Reply {
    let names = core.protocol.names();
    let id = head.headers.get(names.request_id).cloned().unwrap_or_default();
    let budget = budget(core, &head);
    let mut progress = Progress::default();
    let object = head.headers.get(names.object).cloned().unwrap_or_default();
    let unplaced = Unplaced { head, body, id: id.clone(), arrived, budget, disconnected };
    let reply = handle(core, unplaced, &mut progress).await;
    let now = core.clock.now();
    if !progress.account.is_empty() {
        let mut labels = core.account_labels.borrow_mut();
        reporting::account_request(&mut labels, &progress.account, reply.status);
    }
    reporting::request_completed(&reporting::RequestRecord {
        request: std::str::from_utf8(&id).unwrap_or_default(),
        object: std::str::from_utf8(&object).unwrap_or_default(),
        route: &progress.route,
        service: &progress.service,
        regions: &progress.regions,
        upstream: &progress.upstream,
        upstream_region: &progress.upstream_region,
        reason: progress.reason,
        account: &progress.account,
        priority: progress.priority,
        status: reply.status,
        attempts: progress.sent_attempts,
        took: now - arrived,
        budget,
        version: progress.version,
        age: core.confirmed_age(Feed::Upstreams),
        configuration_age: core.confirmed_age(Feed::Operators),
    });
    reply
}

/// The time that a caller gives its request.
pub fn budget(core: &Core, head: &Request) -> Millis {
    let text = head.headers.text(core.protocol.names().deadline);
    let budget = text.and_then(|text| text.trim().parse().ok());
    budget.map_or(DEFAULT_DEADLINE, Millis)
}

/// A request whose route is not known yet.
struct Unplaced {
    head: Request,
    body: Content,
    id: Bytes,
    arrived: Millis,
    budget: Millis,
    disconnected: watch::Receiver<bool>,
}

async fn handle(core: &Rc<Core>, request: Unplaced, progress: &mut Progress) -> Reply {
    let Unplaced { head, body, id, arrived, budget, disconnected } = request;
    if !core.catalogue.borrow().is_complete() {
        progress.reason = "no configuration yet";
        return Reply::failure(Kind::NotReady, Some(NOT_READY_RETRY_AFTER));
    }
    let table = core.table();
    progress.version = table.version();
    let host = head.headers.text("host").unwrap_or_default();
    let Some(route) = table.route(host, head.path()).cloned() else {
        let refusal = accounts::unrouted(core);
        progress.reason = refusal.reason;
        return refusal.reply();
    };
    progress.route = Arc::clone(&route.name);
    let mut allowed = AllowedRegions::default();
    table.restrict(&mut allowed, host, head.path());
    let account = match accounts::admit(core, &table, &route, &head, arrived) {
        Ok(account) => account,
        Err(refusal) => {
            progress.reason = refusal.reason;
            return refusal.reply();
        }
    };
    if let Some(account) = &account {
        allowed.restrict_account(account);
        progress.account = Arc::clone(&account.name);
    }
    let priority = account.as_ref().and_then(|account| account.priority).unwrap_or(route.priority);
    progress.priority = priority;
    progress.regions = allowed.to_string();
    if allowed.is_empty() {
        progress.reason = "route and account allow no common region";
        return Reply::failure(Kind::NoUpstream, None);
    }
    let service = core.splitter.borrow_mut().pick(&route);
    let service = service.and_then(|name| table.service(&name).cloned());
    let Some(service) = service else {
        progress.reason = "no service";
        return Reply::failure(Kind::NoUpstream, None);
    };
    progress.service = Arc::clone(&service.name);
    let deadline = arrived + route.timeout.map_or(budget, |timeout| timeout.min(budget));
    if !fits_before_stop(core, &route, arrived, deadline) {
        progress.reason = "stopping";
        return Reply::failure(Kind::Leaving, Some(MIN_RETRY_AFTER));
    }
    // Last, since a token that was taken is not given back.
    if let Some(account) = &account
        && let Err(refusal) = caps::admit(core, account, route.objective, deadline).await
    {
        progress.reason = refusal.kind.as_str();
        return Reply::failure(refusal.kind, Some(refusal.pause));
    }
    core.retry_budget.borrow_mut().record_request(&service.name, arrived);
    let job =
        Job { head, body, id, arrived, deadline, disconnected, table, allowed, account, priority };
    Attempts { core, route: &route, service: &service, job, tried: Vec::new(), may_have_run: false }
        .run(progress)
        .await
}

/// Whether a request that arrived at `arrived` certainly ends before a stopping process does. An
/// upstream may take until the deadline; what it is still at work on then can't be answered.
fn fits_before_stop(core: &Core, route: &Route, arrived: Millis, deadline: Millis) -> bool {
    let service_time = core.upstreams.borrow().service_time(&route.name);
    core.stop_deadline().is_none_or(|end| {
        deadline + attempt::DEADLINE_MARGIN <= end && arrived + service_time + STOP_MARGIN <= end
    })
}
