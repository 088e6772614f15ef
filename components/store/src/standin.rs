//! A stand-in server for the platform, used only by tests that start real processes.
//!
//! It serves the protocol in docs/PLATFORM.md from the in-memory platform. Tests inject faults
//! through `/fault` and edit the VM list through `/machines`; a real platform has neither.

use crate::fake::{Client, Fault, Platform};
use crate::{Directory, Failure, ListedVm, Store, Table, Transaction};
use salvo::http::StatusCode;
use salvo::prelude::{Json, Request, Response, Router};
use salvo::{Depot, FlowCtrl, Handler, async_trait};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;

const BODY_LIMIT_BYTES: usize = 16 << 20;

/// The operation of a route.
#[derive(Clone, Copy)]
enum Action {
    Read,
    Commit,
    Put,
    Get,
    List,
    Fault,
    ClearFaults,
    Register,
    Leave,
    Remove,
    Count,
}

struct Endpoint {
    platform: Arc<Platform>,
    client: Arc<Client>,
    action: Action,
}

/// The routes of the stand-in, serving `platform`.
pub fn router(platform: Arc<Platform>) -> Router {
    let client = platform.client("standin");
    let endpoint =
        |action| Endpoint { platform: Arc::clone(&platform), client: Arc::clone(&client), action };
    Router::new()
        .push(Router::with_path("v1/table/read").post(endpoint(Action::Read)))
        .push(Router::with_path("v1/table/commit").post(endpoint(Action::Commit)))
        .push(
            Router::with_path("v1/objects/{name}")
                .put(endpoint(Action::Put))
                .get(endpoint(Action::Get)),
        )
        .push(Router::with_path("v1/machines").get(endpoint(Action::List)))
        .push(
            Router::with_path("fault")
                .post(endpoint(Action::Fault))
                .delete(endpoint(Action::ClearFaults)),
        )
        .push(Router::with_path("machines").post(endpoint(Action::Register)))
        .push(
            Router::with_path("machines/{name}")
                .patch(endpoint(Action::Leave))
                .delete(endpoint(Action::Remove)),
        )
        .push(Router::with_path("count").get(endpoint(Action::Count)))
}

#[async_trait]
impl Handler for Endpoint {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if let Err(failure) = self.run(req, res).await {
            render_failure(&failure, res);
        }
    }
}

impl Endpoint {
    async fn run(&self, req: &mut Request, res: &mut Response) -> Result<(), Failure> {
        match self.action {
            Action::Read => {
                let key = text(&body(req).await?)?;
                render(self.client.read(&key).await?, res);
            }
            Action::Commit => {
                let transaction: Transaction = parse(&body(req).await?)?;
                render(self.client.commit(transaction).await?, res);
            }
            Action::Put => {
                self.client.put(body(req).await?).await?;
            }
            Action::Get => match self.client.get(&name(req)).await? {
                Some(found) => {
                    let _ = res.write_body(found);
                }
                None => {
                    res.status_code(StatusCode::NOT_FOUND);
                }
            },
            Action::List => render(self.client.list().await?, res),
            Action::Fault => {
                let fault: Fault = parse(&body(req).await?)?;
                self.platform.inject(fault);
            }
            Action::ClearFaults => self.platform.clear_faults(),
            Action::Register => {
                let vm: ListedVm = parse(&body(req).await?)?;
                self.platform.register(vm);
            }
            Action::Leave => self.platform.mark_leaving(&name(req)),
            Action::Remove => self.platform.remove(&name(req)),
            Action::Count => render(self.platform.count(), res),
        }
        Ok(())
    }
}

fn name(req: &Request) -> String {
    req.param::<String>("name").unwrap_or_default()
}

async fn body(req: &mut Request) -> Result<Vec<u8>, Failure> {
    let payload = req.payload_with_max_size(BODY_LIMIT_BYTES).await;
    match payload {
        Ok(bytes) => Ok(bytes.to_vec()),
        Err(error) => Err(Failure::Refused { context: error.to_string() }),
    }
}

fn text(bytes: &[u8]) -> Result<String, Failure> {
    String::from_utf8(bytes.to_vec())
        .map_err(|error| Failure::Refused { context: error.to_string() })
}

fn parse<T>(bytes: &[u8]) -> Result<T, Failure>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|error| Failure::Refused { context: error.to_string() })
}

fn render<T>(value: T, res: &mut Response)
where
    T: Serialize + Send,
{
    res.render(Json(value));
}

fn render_failure(failure: &Failure, res: &mut Response) {
    let status = match failure {
        Failure::Unavailable { .. } => StatusCode::SERVICE_UNAVAILABLE,
        Failure::Lost { .. } => StatusCode::BAD_GATEWAY,
        Failure::Refused { .. } => StatusCode::BAD_REQUEST,
    };
    res.status_code(status);
    res.render(failure.to_string());
}
