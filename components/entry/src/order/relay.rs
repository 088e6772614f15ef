use super::claim::Owner;
use super::start::{Origin, start};
use crate::core::Core;
use crate::job::Job;
use crate::trace;
use bytes::{Bytes, BytesMut};
use caller::{Refusal, Reply, Request};
use errors::{Error, Kind};
use futures_util::{StreamExt, stream};
use peer::relay::{Header, MAX_OUTCOME, Order, Outcome, Response};
use peer::{Blob, Failure};
use std::sync::Arc;
use upstream::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};

/// The part of [`MAX_OUTCOME`] that is reserved for the status and headers, in bytes.
const HEAD_BYTES_MAX: usize = 64 << 10;

/// Relays an order to its owner.
pub(crate) async fn relay(
    core: &Core,
    job: &Job,
    owner: Owner,
    origin: Origin,
) -> Result<Reply, Error> {
    if origin == Origin::Peer {
        return Err(unknown("a peer relayed the order to this VM, which is not its owner"));
    }
    let owner_vm = job.view.vm(&owner.vm, owner.incarnation);
    let owner_vm = owner_vm.ok_or_else(|| unknown("the order's home is gone"))?;
    trace::order(job, &owner.vm, "relayed");
    let timeout = job
        .time_to_send(core.clock.now())
        .map_err(|_| unknown("the deadline passed before the order was relayed"))?;
    let relaying = core.relay.relay(owner_vm.relay, build_order(job, timeout)?);
    match tokio::time::timeout(timeout.duration(), relaying).await {
        Ok(Ok(Outcome::Answered(response))) => build_reply(job, response),
        Ok(Ok(Outcome::Refused(refusal))) => Err(Error::new(refusal.kind, &*refusal.detail)),
        Ok(Err(failure)) => Err(relay_failure(failure)),
        Err(_) => Err(Error::new(Kind::DeadlineAfterSend, "the order's home didn't answer")),
    }
}

// The outcome is unknown even if this relay was not sent: an earlier attempt may have run at the
// owner.
fn relay_failure(failure: Failure) -> Error {
    unknown(&failure.to_string())
}

fn build_order(job: &Job, budget: clock::Millis) -> Result<Order, Error> {
    let request = &job.request;
    let id = request.order.clone().ok_or_else(|| unknown("the order has no id"))?;
    Ok(Order {
        id,
        service: Arc::clone(&request.service),
        method: request.method.as_str().into(),
        path: Arc::clone(&request.path),
        headers: headers_with_request_id(job),
        body: Blob(request.body.clone()),
        block: request.block,
        budget,
    })
}

fn headers_with_request_id(job: &Job) -> Vec<Header> {
    let mut headers = encode_headers(&job.request.headers);
    headers.retain(|header| &*header.name != caller::header::REQUEST_ID);
    let value = Blob(Bytes::copy_from_slice(job.id.as_bytes()));
    headers.push(Header { name: caller::header::REQUEST_ID.into(), value });
    headers
}

fn build_reply(job: &Job, response: Response) -> Result<Reply, Error> {
    let status = StatusCode::from_u16(response.status)
        .map_err(|_| unknown("the owner sent an invalid HTTP status"))?;
    let headers = crate::reply::headers(job, decode_headers(&response.headers));
    let body = Box::pin(stream::iter([Ok(response.body.0)]));
    Ok(Reply { status, headers, body })
}

/// Runs an order that a peer relayed to this VM.
pub(crate) async fn run_relayed(core: &Arc<Core>, order: Order) -> Outcome {
    match run_order(core, order).await {
        Ok(response) => Outcome::Answered(response),
        Err(refusal) => refusal_outcome(&refusal.error),
    }
}

async fn run_order(core: &Arc<Core>, order: Order) -> Result<Response, Refusal> {
    let request = build_request(order)?;
    let id = request.id.clone().unwrap_or_else(|| "relayed".into());
    let job = Job::new(core, id, request)?;
    let guard = core.tracker.enter_during_shutdown();
    let reply = start(core, job, Origin::Peer, guard).await?;
    let headers = encode_headers(&reply.headers);
    let body = collect_body(reply.body).await?;
    Ok(Response { status: reply.status.as_u16(), headers, body: Blob(body) })
}

async fn collect_body(mut body: caller::Body) -> Result<Bytes, Error> {
    let mut collected = BytesMut::new();
    while let Some(chunk) = body.next().await {
        collected.extend_from_slice(&chunk?);
        if collected.len() > MAX_OUTCOME - HEAD_BYTES_MAX {
            return Err(Error::new(
                Kind::AlreadyRan,
                "the order ran, but its response is too large to relay",
            ));
        }
    }
    Ok(collected.freeze())
}

fn build_request(order: Order) -> Result<Request, Error> {
    let headers = decode_headers(&order.headers);
    let id = headers.get(caller::header::REQUEST_ID).and_then(|id| id.to_str().ok());
    let method = Method::from_bytes(order.method.as_bytes());
    Ok(Request {
        id: id.map(Arc::from),
        block: order.block,
        service: order.service,
        method: method.map_err(|_| {
            Error::new(Kind::Malformed, "the relayed order has an invalid HTTP method")
        })?,
        path: order.path,
        headers,
        body: order.body.0,
        budget: Some(order.budget),
        idempotent: false,
        order: Some(order.id),
    })
}

fn refusal_outcome(error: &Error) -> Outcome {
    let detail = error.context.as_str().into();
    Outcome::Refused(peer::relay::Refusal { kind: error.kind, detail })
}

fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let encode = |(name, value): (&HeaderName, &HeaderValue)| Header {
        name: name.as_str().into(),
        value: Blob(Bytes::copy_from_slice(value.as_bytes())),
    };
    headers.iter().map(encode).collect()
}

fn decode_headers(headers: &[Header]) -> HeaderMap {
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
