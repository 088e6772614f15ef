use crate::core::Core;
use crate::flight::Flight;
use crate::job::Job;
use crate::service::Source;
use clock::Millis;
use std::sync::Arc;
use upstream::{Attempt, Failure, HeaderMap, HeaderValue, Reply, header};

/// Why an attempt brought no answer.
pub(crate) enum Miss {
    /// The transport failed.
    Failed(Failure),
    /// The deadline passed while the upstream had the request.
    Late,
}

/// Sends `job` to the flight's upstream and waits at most `left` for the answer's head.
pub(crate) async fn send(
    core: &Core,
    job: &Job,
    flight: &Flight,
    extra: HeaderMap,
    left: Millis,
) -> Result<Reply, Miss> {
    let attempt = Attempt {
        upstream: Arc::clone(&flight.upstream),
        address: flight.address,
        method: job.request.method.clone(),
        path: Arc::clone(&job.request.path),
        headers: headers(job, extra),
        body: job.request.body.clone(),
        budget: left,
    };
    let sending = core.transport.send(attempt);
    let reply = match tokio::time::timeout(left.duration(), sending).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(failure)) => return Err(Miss::Failed(failure)),
        Err(_) => return Err(Miss::Late),
    };
    note_leaving(core, flight, &reply);
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

fn note_leaving(core: &Core, flight: &Flight, reply: &Reply) {
    if reply.headers.get(header::LEAVING).is_some_and(|value| value == "true") {
        core.services().mark_leaving(&flight.upstream, Source::Answer, core.clock.now());
    }
}
