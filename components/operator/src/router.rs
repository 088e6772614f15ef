use crate::path::{
    APPLY, APPLY_LIMIT_BYTES, CANCEL_DRAIN, CURRENT, EXPLAIN, MESSAGE_LIMIT_BYTES, METRICS,
    OUTCOME, PLAN_DRAIN, STATUS, USE_PRESET,
};
use crate::wire::Refusal;
use crate::{Api, Key};
use errors::Kind;
use salvo::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::http::{ParseError, StatusCode};
use salvo::writing::Text;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use telemetry::names;

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const OPERATION: &str = "operation";

/// Routes the operators' requests to `api`, and serves metrics; the key is checked first.
pub fn router(key: Key, api: Arc<dyn Api>) -> Router {
    let endpoint = |action| Endpoint { api: Arc::clone(&api), action };
    Router::new()
        .hoop(key)
        .push(Router::with_path(STATUS).get(endpoint(Action::Status)))
        .push(Router::with_path(CURRENT).get(endpoint(Action::Current)))
        .push(Router::with_path(APPLY).post(endpoint(Action::Apply)))
        .push(Router::with_path(USE_PRESET).post(endpoint(Action::UsePreset)))
        .push(Router::with_path(PLAN_DRAIN).post(endpoint(Action::PlanDrain)))
        .push(Router::with_path(CANCEL_DRAIN).post(endpoint(Action::CancelDrain)))
        .push(Router::with_path(EXPLAIN).post(endpoint(Action::Explain)))
        .push(
            Router::with_path(format!("{OUTCOME}/{{{OPERATION}}}")).get(endpoint(Action::Outcome)),
        )
        .push(Router::with_path(METRICS).get(Metrics))
        .push(Router::with_path("{**rest}").goal(UnknownRoute))
}

/// Serves only the metrics, for processes without an [`Api`]; the key is checked first.
pub fn metrics_router(key: Key) -> Router {
    Router::with_path(METRICS).hoop(key).get(Metrics)
}

/// Encodes `refusal` as the HTTP response, with the status of its kind.
pub(crate) fn refuse(res: &mut Response, refusal: &Refusal) {
    let response = errors::response(refusal.kind);
    let status = StatusCode::from_u16(response.status);
    res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(span) = response.retry_after {
        res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(span.0.div_ceil(1000)));
    }
    render(res, refusal);
}

#[derive(Clone, Copy)]
enum Action {
    Status,
    Current,
    Apply,
    UsePreset,
    PlanDrain,
    CancelDrain,
    Explain,
    Outcome,
}

impl Action {
    const fn as_str(self) -> &'static str {
        match self {
            Action::Status => "status",
            Action::Current => "current",
            Action::Apply => "apply",
            Action::UsePreset => "use_preset",
            Action::PlanDrain => "plan_drain",
            Action::CancelDrain => "cancel_drain",
            Action::Explain => "explain",
            Action::Outcome => "outcome",
        }
    }

    const fn limit(self) -> usize {
        match self {
            Action::Apply => APPLY_LIMIT_BYTES,
            _ => MESSAGE_LIMIT_BYTES,
        }
    }
}

struct Endpoint {
    api: Arc<dyn Api>,
    action: Action,
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let action = self.action.as_str();
        match self.run(req, res).await {
            Ok(()) => count(action, "done"),
            Err(refusal) => {
                let kind = refusal.kind.as_str();
                log::info!(act = action, kind; "refused an operator's request");
                count(action, "refused");
                refuse(res, &refusal);
            }
        }
    }
}

impl Endpoint {
    async fn run(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        let api = self.api.as_ref();
        let limit = self.action.limit();
        match self.action {
            Action::Status => render(res, &api.status().await?),
            Action::Current => render(res, &api.current().await?),
            Action::Apply => render(res, &api.apply(receive(req, limit).await?).await?),
            Action::UsePreset => render(res, &api.use_preset(receive(req, limit).await?).await?),
            Action::PlanDrain => render(res, &api.plan_drain(receive(req, limit).await?).await?),
            Action::CancelDrain => {
                render(res, &api.cancel_drain(receive(req, limit).await?).await?);
            }
            Action::Explain => render(res, &api.explain(receive(req, limit).await?).await?),
            Action::Outcome => {
                let operation: String = req.param(OPERATION).unwrap_or_default();
                render(res, &api.outcome(operation.into()).await?);
            }
        }
        Ok(())
    }
}

struct Metrics;

#[async_trait]
impl Handler for Metrics {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        res.render(Text::Plain(telemetry::render()));
    }
}

struct UnknownRoute;

#[async_trait]
impl Handler for UnknownRoute {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        refuse(res, &Refusal::new(Kind::Malformed, "no such path or method"));
    }
}

async fn receive<M>(req: &mut Request, limit: usize) -> Result<M, Refusal>
where
    M: DeserializeOwned,
{
    let body = match req.payload_with_max_size(limit).await {
        Ok(body) => body,
        Err(ParseError::PayloadTooLarge) => {
            let context = format!("the request exceeds {limit} bytes");
            return Err(Refusal::new(Kind::TooLarge, context));
        }
        Err(error) => {
            return Err(Refusal::new(Kind::Malformed, format!("can't read the request: {error}")));
        }
    };
    serde_json::from_slice(body).map_err(|error| {
        Refusal::new(Kind::Malformed, format!("can't decode the request: {error}"))
    })
}

fn render<R>(res: &mut Response, message: &R)
where
    R: Serialize,
{
    match serde_json::to_vec(message) {
        Ok(body) => {
            res.headers_mut().insert(CONTENT_TYPE, JSON);
            res.body(body);
        }
        Err(error) => {
            log::error!("can't encode the response to an operator, sending status 500: {error}");
            res.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

fn count(action: &'static str, outcome: &'static str) {
    metrics::counter!(names::OPERATIONS, names::ACTION => action, names::OUTCOME => outcome)
        .increment(1);
}
