use crate::Failure;
use crate::http::wire::Target;
use crate::http::{Key, post, receive, refuse, reply};
use crate::relay::{self, Executor, MAX_ORDER, MAX_OUTCOME, Order, Outcome};
use async_trait::async_trait;
use clock::Millis;
use salvo::{Depot, FlowCtrl, Request, Response, Router};
use std::net::SocketAddr;
use std::sync::Arc;

const PATH: &str = "relay";

/// How long after the order's deadline the owner's own statement of the outcome may still arrive.
const OUTCOME_GRACE: Millis = Millis(500);

/// Sends orders to other VMs' `entryd`.
pub struct Relay {
    http: reqwest::Client,
    key: Key,
}

impl Relay {
    /// A relay that sends `key` with each order.
    pub fn new(key: Key) -> Relay {
        Relay { http: reqwest::Client::new(), key }
    }
}

#[async_trait]
impl relay::Relay for Relay {
    async fn relay(&self, to: SocketAddr, order: Order) -> Result<Outcome, Failure> {
        let timeout = order.budget + OUTCOME_GRACE;
        let target = Target { to, path: PATH, key: &self.key, timeout, limit: MAX_OUTCOME };
        let outcome = post(&self.http, target, &order).await?;
        outcome.ok_or_else(|| Failure::Lost { context: format!("{to}: the outcome is empty") })
    }
}

/// Routes relayed orders to `executor`; the key is checked first.
pub fn relay_router(key: Key, executor: Arc<dyn Executor>) -> Router {
    Router::new().hoop(key).push(Router::with_path(PATH).post(Orders { executor }))
}

struct Orders {
    executor: Arc<dyn Executor>,
}

#[salvo::async_trait]
impl salvo::Handler for Orders {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match receive::<Order>(req, MAX_ORDER).await {
            Ok(order) => reply(res, &self.executor.run(order).await),
            Err(error) => refuse(res, &error),
        }
    }
}
