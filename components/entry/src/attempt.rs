use crate::active_attempt::ActiveAttempt;
use crate::core::Core;
use crate::job::Job;
use crate::service::Source;
use clock::Millis;
use std::sync::Arc;
use upstream::{Attempt, Failure, HeaderMap, HeaderValue, Reply, header};

/// Why an attempt got no response.
pub(crate) enum SendError {
    /// The connection failed, or the upstream shed the request.
    Failed(Failure),
    /// The deadline passed while the upstream had the request.
    TimedOut,
}

/// Sends `job` to the attempt's upstream and waits at most `timeout` for the response's head.
pub(crate) async fn send(
    core: &Core,
    job: &Job,
    attempt: &ActiveAttempt,
    extra: HeaderMap,
    timeout: Millis,
) -> Result<Reply, SendError> {
    let outgoing = Attempt {
        upstream: Arc::clone(&attempt.upstream),
        address: attempt.address,
        method: job.request.method.clone(),
        path: Arc::clone(&job.request.path),
        headers: headers(job, extra),
        body: job.request.body.clone(),
        budget: timeout,
    };
    let call = core.transport.send(outgoing);
    let reply = match tokio::time::timeout(timeout.duration(), call).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(failure)) => return Err(SendError::Failed(failure)),
        Err(_) => return Err(SendError::TimedOut),
    };
    record_leaving(core, attempt, &reply);
    Ok(reply)
}

fn headers(job: &Job, extra: HeaderMap) -> HeaderMap {
    let mut headers = job.request.headers.clone();
    headers.extend(extra);
    if let Ok(id) = HeaderValue::from_str(&job.id) {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Some(Ok(order)) = job.request.order.as_deref().map(HeaderValue::from_str) {
        headers.insert(header::ORDER_ID, order);
    }
    headers
}

fn record_leaving(core: &Core, attempt: &ActiveAttempt, reply: &Reply) {
    if reply.headers.get(header::LEAVING).is_some_and(|value| value == "true") {
        core.services().mark_leaving(&attempt.upstream, Source::Response, core.clock.now());
    }
}
