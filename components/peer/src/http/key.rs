use crate::http::refuse;
use errors::{Error, Kind};
use salvo::{Depot, FlowCtrl, Request, Response};
use std::fmt;
use std::sync::Arc;

/// The header that carries the peers' key.
pub const HEADER: &str = "x-peer-key";

/// The key that peers share; it never shows in a log.
#[derive(Clone)]
pub struct Key {
    secret: Arc<str>,
    digest: blake3::Hash,
}

impl Key {
    /// The key with this secret.
    pub fn new(secret: Arc<str>) -> Key {
        let digest = blake3::hash(secret.as_bytes());
        Key { secret, digest }
    }

    pub(crate) fn secret(&self) -> &str {
        &self.secret
    }

    /// Whether `presented` is this key; digests are compared, in constant time.
    pub fn admits(&self, presented: &[u8]) -> bool {
        blake3::hash(presented) == self.digest
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
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
        if presented.is_some_and(|value| self.admits(value)) {
            return;
        }
        log::warn!("refused a message from {} without the peers' key", req.remote_addr());
        refuse(res, &Error::new(Kind::Unauthorized, "the peers' key is missing or wrong"));
        ctrl.skip_rest();
    }
}
