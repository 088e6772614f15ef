use bytes::Bytes;
use clock::Millis;
use std::net::SocketAddr;
use std::sync::Arc;

/// Names of header fields and paths in requests and responses of callers and upstreams.
#[derive(Clone, Copy, Debug)]
pub struct WireNames {
    /// Request header: the id of one attempt of a caller. Upstreams repeat it in the response.
    pub request_id: &'static str,
    /// Request header: the time that the sender still waits for the response, in ms.
    pub deadline: &'static str,
    /// Request header: the affinity key of the object that the request concerns.
    pub object: &'static str,
    /// Response header: the upstream's signature; a successful response must have one.
    pub signature: &'static str,
    /// Request header: the id of the only upstream that may execute the request.
    pub target: &'static str,
    /// Response header: the load of the upstream, see [`Protocol::parse_load`].
    pub load: &'static str,
    /// Response header: the upstream states that it did not execute the request.
    pub not_run: &'static str,
    /// Response header: the upstream leaves, see [`Protocol::parse_leaving`].
    pub leaving: &'static str,
    /// Response header: how long the sender wants no requests, see [`Protocol::parse_pause`].
    pub retry_after: &'static str,
    /// Response header of a health check: the id of the upstream.
    pub instance: &'static str,
    /// Response header of a health check: how long the upstream stays cold, see
    /// [`Protocol::parse_cold`].
    pub cold: &'static str,
    /// Request header: the key of the caller's account. It never reaches an upstream or a log.
    pub key: &'static str,
    /// Request header to upstreams: the name of the account.
    pub account: &'static str,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
    /// Path of look-ups.
    pub lookup_path: &'static str,
}

/// Parameters of a look-up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LookupQuery {
    /// The caller's region, if given.
    pub region: Option<Arc<str>>,
    /// The caller's failure domain, if given.
    pub domain: Option<Arc<str>>,
}

/// The platform's HTTP conventions between callers, entry VMs and upstreams.
pub trait Protocol {
    /// Names of header fields and paths.
    fn names(&self) -> &WireNames;

    /// Parses the query string of a look-up.
    fn parse_lookup(&self, query: &str) -> LookupQuery;

    /// The body of a look-up response: addresses of entry VMs and how long they may be used.
    fn lookup_response(&self, addresses: &[SocketAddr], lease: Millis) -> Bytes;

    /// Parses the value of the load header, or `None` if it is malformed.
    fn parse_load(&self, value: &str) -> Option<Load>;

    /// Whether the value of the leaving header states that the upstream leaves.
    fn parse_leaving(&self, value: &str) -> bool;

    /// Parses the remaining cold time, or `None` if it is malformed.
    fn parse_cold(&self, value: &str) -> Option<Millis>;

    /// Parses the value of the header that requests a pause, or `None` if it is malformed.
    fn parse_pause(&self, value: &str) -> Option<Millis>;
}

/// The load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Requests that are executing.
    pub running: u32,
    /// Requests that are queued.
    pub waiting: u32,
    /// Service time relative to a VM at normal speed: 1 is normal, 2 takes twice as long.
    pub slowdown: f64,
}
