use crate::core::Core;
use crate::job::Job;
use crate::pool::Choice;
use clock::Millis;
use std::sync::Arc;
use upstream::{Attempt, Failure, HeaderMap, HeaderValue, Reply, header};

/// An attempt that counts at its upstream until it is dropped.
pub(crate) struct Flight {
    core: Arc<Core>,
    pub(crate) choice: Choice,
}

impl Flight {
    pub(crate) fn begin(core: &Arc<Core>, choice: Choice) -> Flight {
        core.pool().begin(&choice.upstream);
        Flight { core: Arc::clone(core), choice }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.core.pool().end(&self.choice.upstream);
    }
}

/// Why an attempt brought no answer.
pub(crate) enum Miss {
    /// The transport failed.
    Failed(Failure),
    /// The deadline passed while the upstream had the request.
    Late,
}

/// Sends `job` to the flight's upstream and waits at most until the deadline for the answer's head.
pub(crate) async fn send(
    core: &Arc<Core>,
    job: &Job,
    flight: &Flight,
    extra: HeaderMap,
    left: Millis,
) -> Result<Reply, Miss> {
    let attempt = Attempt {
        upstream: Arc::clone(&flight.choice.upstream),
        address: flight.choice.address,
        method: job.request.method.clone(),
        path: Arc::clone(&job.request.path),
        headers: headers(job, extra),
        body: job.request.body.clone(),
        budget: left,
    };
    log_choice(job, &flight.choice);
    let sending = core.transport.send(attempt);
    let reply = match tokio::time::timeout(left.duration(), sending).await {
        Ok(Ok(reply)) => reply,
        Ok(Err(failure)) => return Err(Miss::Failed(failure)),
        Err(_) => return Err(Miss::Late),
    };
    note_leaving(core, &flight.choice, &reply);
    Ok(reply)
}

fn headers(job: &Job, extra: HeaderMap) -> HeaderMap {
    let mut headers = job.request.headers.clone();
    headers.extend(extra);
    if let Ok(id) = HeaderValue::from_str(&job.id) {
        headers.insert(header::REQUEST_ID, id);
    }
    headers
}

fn note_leaving(core: &Core, choice: &Choice, reply: &Reply) {
    if reply.headers.get(header::LEAVING).is_some_and(|value| value == "true") {
        core.pool().mark_leaving(&choice.upstream, core.clock.now());
    }
}

fn log_choice(job: &Job, choice: &Choice) {
    log::info!(
        "request={} service={} upstream={} reason={}",
        job.id,
        job.request.service,
        choice.upstream,
        choice.reason
    );
}
