use crate::router::refuse;
use crate::wire::Refusal;
use errors::Kind;
use salvo::http::header::{AUTHORIZATION, HeaderValue};
use salvo::{Depot, FlowCtrl, Request, Response};
use secret::Secret;
use std::sync::Arc;
use telemetry::names;

const SCHEME: &str = "Bearer ";

/// The key that all operators share. As a [`salvo::Handler`] it rejects requests without the key.
#[derive(Clone, Debug)]
pub struct Key(Secret);

impl Key {
    /// The key whose text is `secret`.
    pub fn new(secret: Arc<str>) -> Key {
        Key(Secret::new(secret))
    }

    /// Whether `presented` is this key.
    pub fn matches(&self, presented: &[u8]) -> bool {
        self.0.matches(presented)
    }

    /// The value of the `Authorization` header that presents this key.
    pub(crate) fn authorization(&self) -> String {
        format!("{SCHEME}{}", self.0.reveal())
    }

    fn matches_header(&self, value: &HeaderValue) -> bool {
        let presented = value.as_bytes().strip_prefix(SCHEME.as_bytes());
        presented.is_some_and(|secret| self.matches(secret))
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
        if req.headers().get(AUTHORIZATION).is_some_and(|value| self.matches_header(value)) {
            return;
        }
        log::warn!("refused a request from {} without the operators' key", req.remote_addr());
        metrics::counter!(names::UNAUTHORIZED, names::LISTENER => "operator").increment(1);
        refuse(res, &Refusal::new(Kind::Unauthorized, "the operators' key is missing or wrong"));
        ctrl.skip_rest();
    }
}
