use crate::fake::Server;
use crate::{Attempt, Failure, Method, header, load};
use async_trait::async_trait;
use clock::Millis;
use futures_util::StreamExt;
use salvo::conn::tcp::TcpAcceptor;
use salvo::http::{ResBody, StatusCode};
use salvo::prelude::{Depot, FlowCtrl, Handler, Request, Response, Router};
use std::sync::Arc;

const DEFAULT_BUDGET: Millis = Millis::from_secs(60);
const BODY_BYTES_MAX: usize = 8 << 20;

/// The path of the list of executed requests, one per line.
pub const RAN_PATH: &str = "/ran";

/// A stand-in for an upstream: a fake server behind a TCP listener.
pub struct Standin {
    server: Arc<Server>,
}

impl Standin {
    /// A stand-in around `server`.
    pub fn new(server: Arc<Server>) -> Standin {
        Standin { server }
    }

    /// The routes of the stand-in: its load, its list of executed requests, and its content.
    pub fn router(self) -> Router {
        let server = self.server;
        Router::new()
            .push(Router::with_path(&load::PATH[1..]).get(Report { server: Arc::clone(&server) }))
            .push(Router::with_path(&RAN_PATH[1..]).get(List { server: Arc::clone(&server) }))
            .push(Router::with_path("{**rest}").goal(Serve { server }))
    }

    /// Serves at `acceptor` until the process ends.
    pub async fn serve(self, acceptor: TcpAcceptor) {
        salvo::Server::new(acceptor).serve(self.router()).await;
    }
}

struct Report {
    server: Arc<Server>,
}

#[async_trait]
impl Handler for Report {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match self.server.load() {
            Ok(load) => res.render(salvo::writing::Json(load)),
            Err(_) => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    }
}

struct List {
    server: Arc<Server>,
}

#[async_trait]
impl Handler for List {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let runs = self.server.runs();
        let line = |run: &crate::fake::Run| {
            format!("{} {} {} {}\n", run.method, run.path, run.request, run.order)
        };
        res.render(runs.iter().map(line).collect::<String>());
    }
}

struct Serve {
    server: Arc<Server>,
}

#[async_trait]
impl Handler for Serve {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let Some(attempt) = parse(req).await else {
            res.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        match self.server.serve(attempt).await {
            Ok(reply) => {
                res.status_code(reply.status);
                res.set_headers(reply.headers);
                res.body(ResBody::stream(reply.body));
            }
            Err(Failure::Shed { .. }) => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            }
            Err(failure) => abort(res, failure),
        }
    }
}

// Closes the connection in the middle of the response, so that the client sees it truncated.
fn abort(res: &mut Response, failure: Failure) {
    let ending = futures_util::stream::iter([Err::<bytes::Bytes, Failure>(failure)]);
    res.body(ResBody::stream(ending.boxed()));
}

async fn parse(req: &mut Request) -> Option<Attempt> {
    let body = req.payload_with_max_size(BODY_BYTES_MAX).await.ok()?.clone();
    let path = req.uri().path_and_query()?.as_str().into();
    let budget = req.header::<u64>(header::DEADLINE).map_or(DEFAULT_BUDGET, Millis);
    let method = Method::from_bytes(req.method().as_str().as_bytes()).ok()?;
    Some(Attempt {
        upstream: "self".into(),
        address: ([127, 0, 0, 1], 0).into(),
        method,
        path,
        headers: req.headers().clone(),
        body,
        budget,
    })
}
