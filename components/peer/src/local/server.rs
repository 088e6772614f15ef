use crate::http::{Key, receive, refuse, reply};
use crate::local::{MAX_REPORT, Report, Source};
use salvo::http::StatusCode;
use salvo::{Depot, FlowCtrl, Request, Response, Router};
use std::sync::Arc;

pub(crate) const PATH: &str = "local/snapshot";

/// Serves snapshots to `entryd` processes.
pub struct Server {
    source: Arc<dyn Source>,
}

impl Server {
    /// Routes polls to `source`; the key is checked first.
    ///
    /// The same routes belong on the peers' listener, since an `entryd` whose own `controld` is
    /// dead polls its peers.
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
