use crate::http::{Key, receive, refuse, reply};
use crate::local::{MAX_REPORT, Report, Source};
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Request, Response, Router};
use std::sync::Arc;

pub(crate) const PATH: &str = "local/snapshot";

/// Answers the questions of `entryd` processes.
pub struct Server {
    source: Arc<dyn Source>,
}

impl Server {
    /// Routes questions to `source`.
    ///
    /// The same routes belong on the peers' listener, since a VM whose own `controld` is dead
    /// asks its neighbours.
    pub fn router(key: Key, source: Arc<dyn Source>) -> Router {
        Router::new().hoop(key).push(Router::with_path(PATH).post(Server { source }))
    }
}

#[salvo::async_trait]
impl salvo::Handler for Server {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let report = match receive::<Report>(req, MAX_REPORT).await {
            Ok(report) => report,
            Err(error) => return refuse(res, &error),
        };
        match self.source.next(report).await {
            Some(stamped) => reply(res, &stamped),
            None => {
                res.status_code(StatusCode::NO_CONTENT);
            }
        }
    }
}
