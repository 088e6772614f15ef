use crate::{Handler, Refusal, Reply, header, parse};
use async_trait::async_trait;
use errors::{Error, Kind};
use salvo::http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use salvo::http::{ResBody, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Request, Response, Router};
use salvo::writing::Json;
use std::sync::Arc;

/// The callers' routes.
pub fn router(handler: Arc<dyn Handler>) -> Router {
    let look_up = LookUp { handler: Arc::clone(&handler) };
    let forward = Forward { handler };
    Router::new()
        .push(Router::with_path("v1/lookup").get(look_up))
        .push(Router::with_path("v1/services/{**rest}").goal(forward))
        .push(Router::with_path("{**rest}").goal(UnknownPath))
}

struct LookUp {
    handler: Arc<dyn Handler>,
}

#[async_trait]
impl salvo::Handler for LookUp {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let query = parse::query(req).map_err(Refusal::from);
        match query.and_then(|query| self.handler.look_up(&query)) {
            Ok(response) => res.render(Json(response)),
            Err(refusal) => refuse(res, &refusal),
        }
    }
}

struct Forward {
    handler: Arc<dyn Handler>,
}

#[async_trait]
impl salvo::Handler for Forward {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let reply = match parse::request(req).await {
            Ok(request) => self.handler.forward(request).await,
            Err(error) => Err(error.into()),
        };
        match reply {
            Ok(reply) => write(res, reply),
            Err(refusal) => refuse(res, &refusal),
        }
    }
}

struct UnknownPath;

#[async_trait]
impl salvo::Handler for UnknownPath {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        refuse(res, &Error::new(Kind::Malformed, "no such path; see docs/CALLERS.md").into());
    }
}

fn write(res: &mut Response, reply: Reply) {
    res.status_code(reply.status);
    res.set_headers(reply.headers);
    res.body(ResBody::stream(reply.body));
}

fn refuse(res: &mut Response, refusal: &Refusal) {
    let answer = refusal.error.response();
    res.status_code(
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
    );
    set(res, header::RAN, answer.ran.as_str());
    if let Some(span) = refusal.retry_after() {
        set(res, RETRY_AFTER.as_str(), &span.0.div_ceil(1000).to_string());
    }
    if let Some(id) = &refusal.request {
        set(res, header::REQUEST_ID, id);
    }
    if let Some(order) = &refusal.order {
        set(res, header::ORDER_ID, order);
    }
    res.render(Json(refusal.message()));
}

fn set(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(HeaderName::from_static(name), value);
    }
}
