use super::claim::Owner;
use super::start::{Origin, start};
use crate::core::Core;
use crate::job::Job;
use crate::trace;
use bytes::{Bytes, BytesMut};
use caller::{Refusal, Reply, Request};
use errors::{Error, Kind};
use futures_util::{StreamExt, stream};
use peer::relay::{Answer, Header, MAX_OUTCOME, Order, Outcome};
use peer::{Blob, Failure};
use std::sync::Arc;
use upstream::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

/// Room for an outcome's head next to its body.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Hands an order to the incarnation that alone may send it.
pub(crate) async fn relay(
    core: &Core,
    job: &Job,
    owner: Owner,
    origin: Origin,
) -> Result<Reply, Error> {
    if origin == Origin::Peer {
        return Err(unknown("this VM isn't the order's home"));
    }
    let home = job.view.vm(&owner.vm, owner.incarnation);
    let home = home.ok_or_else(|| unknown("the order's home is gone"))?;
    trace::order(job, &owner.vm, "relayed");
    let left = job.time_to_send(core.clock.now()).map_err(|_| unknown("no time left to ask"))?;
    let relaying = core.relay.relay(home.relay, order(job, left)?);
    match tokio::time::timeout(left.duration(), relaying).await {
        Ok(Ok(Outcome::Answered(answer))) => reply(job, answer),
        Ok(Ok(Outcome::Refused(refusal))) => Err(Error::new(refusal.kind, &*refusal.detail)),
        Ok(Err(failure)) => Err(unanswered(failure)),
        Err(_) => Err(Error::new(Kind::DeadlineAfterSend, "the order's home didn't answer")),
    }
}

// This copy may not have been sent, but an earlier one may have run at the home.
fn unanswered(failure: Failure) -> Error {
    unknown(&failure.to_string())
}

fn order(job: &Job, budget: clock::Millis) -> Result<Order, Error> {
    let request = &job.request;
    let id = request.order.clone().ok_or_else(|| unknown("the order has no id"))?;
    Ok(Order {
        id,
        service: Arc::clone(&request.service),
        method: request.method.as_str().into(),
        path: Arc::clone(&request.path),
        headers: with_request_id(job),
        body: Blob(request.body.clone()),
        block: request.block,
        budget,
    })
}

fn with_request_id(job: &Job) -> Vec<Header> {
    let mut headers = pack(&job.request.headers);
    headers.retain(|header| &*header.name != caller::header::REQUEST_ID);
    let value = Blob(Bytes::copy_from_slice(job.id.as_bytes()));
    headers.push(Header { name: caller::header::REQUEST_ID.into(), value });
    headers
}

fn reply(job: &Job, answer: Answer) -> Result<Reply, Error> {
    let status = StatusCode::from_u16(answer.status).map_err(|_| unknown("a bad status"))?;
    let headers = crate::reply::headers(job, unpack(&answer.headers));
    let body = Box::pin(stream::iter([Ok(answer.body.0)]));
    Ok(Reply { status, headers, body })
}

/// Runs an order that another VM relayed to this one.
pub(crate) async fn run_relayed(core: &Arc<Core>, order: Order) -> Outcome {
    match run(core, order).await {
        Ok(answer) => Outcome::Answered(answer),
        Err(refusal) => refused(&refusal.error),
    }
}

async fn run(core: &Arc<Core>, order: Order) -> Result<Answer, Refusal> {
    let request = request(order)?;
    let id = request.id.clone().unwrap_or_else(|| "relayed".into());
    let job = Job::new(core, id, request)?;
    let pass = core.gate.enter_leaving();
    let reply = start(core, job, Origin::Peer, pass).await?;
    let headers = pack(&reply.headers);
    let body = collect(reply.body).await?;
    Ok(Answer { status: reply.status.as_u16(), headers, body: Blob(body) })
}

async fn collect(mut body: caller::Body) -> Result<Bytes, Error> {
    let mut whole = BytesMut::new();
    while let Some(chunk) = body.next().await {
        whole.extend_from_slice(&chunk?);
        if whole.len() > MAX_OUTCOME - HEAD_BYTES_MAX {
            return Err(Error::new(Kind::AlreadyRan, "it ran: its answer is too large to relay"));
        }
    }
    Ok(whole.freeze())
}

fn request(order: Order) -> Result<Request, Error> {
    let headers = unpack(&order.headers);
    let id = headers.get(caller::header::REQUEST_ID).and_then(|id| id.to_str().ok());
    let method = Method::from_bytes(order.method.as_bytes());
    Ok(Request {
        id: id.map(Arc::from),
        block: order.block,
        service: order.service,
        method: method.map_err(|_| Error::new(Kind::Malformed, "a bad method"))?,
        path: order.path,
        headers,
        body: order.body.0,
        budget: Some(order.budget),
        idempotent: false,
        order: Some(order.id),
    })
}

fn refused(error: &Error) -> Outcome {
    let detail = error.context.as_str().into();
    Outcome::Refused(peer::relay::Refusal { kind: error.kind, detail })
}

fn pack(headers: &HeaderMap) -> Vec<Header> {
    let pack = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().into(),
        value: Blob(Bytes::copy_from_slice(value.as_bytes())),
    };
    headers.iter().map(pack).collect()
}

fn unpack(headers: &[Header]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for header in headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        let value = HeaderValue::from_bytes(&header.value.0);
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}

fn unknown(context: &str) -> Error {
    Error::new(Kind::OutcomeUnknown, context)
}
