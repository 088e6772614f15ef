//! Messages over HTTP, accepted only with the peers' key.

mod client;
mod key;
mod relay;
mod wire;

pub use client::Client;
pub use key::{HEADER, Key};
pub use relay::{Relay, relay_router};

pub(crate) use wire::{Target, post, receive, refuse, reply};

use crate::message::MAX_MESSAGE;
use crate::{Handler, Message};
use salvo::{Depot, FlowCtrl, Request, Response, Router};
use std::sync::Arc;

/// The path at which `controld` receives messages.
pub const PATH: &str = "peer";

/// Routes messages to `handler`; the key is checked first.
pub fn router(key: Key, handler: Arc<dyn Handler>) -> Router {
    Router::new().hoop(key).push(Router::with_path(PATH).post(Messages { handler }))
}

struct Messages {
    handler: Arc<dyn Handler>,
}

#[salvo::async_trait]
impl salvo::Handler for Messages {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match receive::<Message>(req, MAX_MESSAGE).await {
            Ok(message) => reply(res, &self.handler.handle(message).await),
            Err(error) => refuse(res, &error),
        }
    }
}
