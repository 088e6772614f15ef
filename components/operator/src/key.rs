use crate::router::refuse;
use crate::wire::Refusal;
use errors::Kind;
use salvo::http::header::{AUTHORIZATION, HeaderValue};
use salvo::{Depot, FlowCtrl, Request, Response};
use std::fmt;
use std::sync::Arc;
use telemetry::names;

const SCHEME: &str = "Bearer ";

/// The key that operators share; it never shows in a log.
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

    /// Whether `presented` is this key; digests are compared, in constant time.
    pub fn admits(&self, presented: &[u8]) -> bool {
        blake3::hash(presented) == self.digest
    }

    /// The value of the `Authorization` header.
    pub(crate) fn authorization(&self) -> String {
        format!("{SCHEME}{}", self.secret)
    }

    fn admits_header(&self, value: &HeaderValue) -> bool {
        let presented = value.as_bytes().strip_prefix(SCHEME.as_bytes());
        presented.is_some_and(|secret| self.admits(secret))
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
        if req.headers().get(AUTHORIZATION).is_some_and(|value| self.admits_header(value)) {
            return;
        }
        log::warn!("refused a request from {} without the operators' key", req.remote_addr());
        metrics::counter!(names::UNAUTHORIZED, names::LISTENER => "operator").increment(1);
        refuse(res, &Refusal::new(Kind::Unauthorized, "the operators' key is missing or wrong"));
        ctrl.skip_rest();
    }
}
