use crate::http::refuse;
use errors::{Error, Kind};
use salvo::{Depot, FlowCtrl, Request, Response};
use secret::Secret;
use std::sync::Arc;

/// The header that carries the peers' key.
pub const HEADER: &str = "x-peer-key";

/// The key that all peers share. As a [`salvo::Handler`] it rejects requests without the key.
#[derive(Clone, Debug)]
pub struct Key(Secret);

impl Key {
    /// The key whose text is `secret`.
    pub fn new(secret: Arc<str>) -> Key {
        Key(Secret::new(secret))
    }

    pub(crate) fn secret(&self) -> &str {
        self.0.reveal()
    }

    /// Whether `presented` is this key.
    pub fn matches(&self, presented: &[u8]) -> bool {
        self.0.matches(presented)
    }
}

#[salvo::async_trait]
impl salvo::Handler for Key {
    async fn handle(
        &self,
        req: &mut Request,
        _: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        let presented = req.headers().get(HEADER).map(|value| value.as_bytes());
        if presented.is_some_and(|value| self.matches(value)) {
            return;
        }
        log::warn!("refused a message from {} without the peers' key", req.remote_addr());
        refuse(res, &Error::new(Kind::Unauthorized, "the peers' key is missing or wrong"));
        ctrl.skip_rest();
    }
}
