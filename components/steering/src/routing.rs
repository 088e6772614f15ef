//! Routes, services and limits that operators declare, and the table that finds a request's route.
//!
//! See docs/DATAPATH.md, "Routes".

mod allowed_regions;
mod path;
mod split;
mod table;

pub use allowed_regions::AllowedRegions;
pub use split::Splitter;
pub use table::Table;

use crate::account::Account;
use clock::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;

/// The most slots of an upstream: it runs one request at a time on a connection, and has no more
/// connections to an address than that has ports.
const MAX_SLOTS: u32 = 65_535;
/// The longest time that an upstream stays cold.
pub const MAX_COLD_SPAN: Millis = Millis::from_secs(24 * 60 * 60);

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// The request is idempotent and may run more than once.
    Idempotent,
    /// The request must run at most once.
    Order,
    /// The response is large; the request may run more than once.
    Download,
}

impl Effect {
    /// Whether the request may be sent again when it may already have run.
    pub fn is_retryable(self) -> bool {
        self != Effect::Order
    }
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service's name.
    pub service: Arc<str>,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// A route: which requests match it, where they go and what callers are guaranteed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name, for logs.
    pub name: Arc<str>,
    /// Host of the requests, in lower case.
    pub host: Arc<str>,
    /// Path prefix of the requests; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub effect: Effect,
    /// Longest time for a request; `None` leaves that to the caller's deadline.
    pub timeout: Option<Millis>,
    /// The latency objective.
    pub objective: Millis,
    /// Most upstreams that one request is sent to.
    pub attempts: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Regions that may serve it; empty allows all.
    pub regions: Vec<Arc<str>>,
    /// Whether upstreams respond faster for objects that they handled before.
    pub affinity: bool,
    /// Services that get the requests, by weight.
    pub targets: Vec<Target>,
    /// Whether requests need no key where the configuration has client accounts.
    #[serde(default)]
    pub anonymous: bool,
}

/// Properties that all upstreams of a service share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Arc<str>,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one upstream accepts from all entry VMs together.
    pub connections: u32,
    /// How long an upstream stays cold after its start.
    pub cold_span: Millis,
    /// Requests a second that a cold upstream bears.
    pub cold_rate: f64,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most bytes of a request head.
    pub head_bytes: usize,
    /// Most bytes of a request body.
    pub body_bytes: u64,
    /// Longest time from the first to the last byte of a head.
    pub head_timeout: Millis,
    /// Longest time that a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// The limits until a configuration is known.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Millis::from_secs(3),
            idle_timeout: Millis::from_secs(15),
        }
    }
}

/// Everything that operators declare, in one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version. A VM only replaces a configuration by one with a greater version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Vec<Arc<Service>>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// The client accounts; with none, requests need no key.
    #[serde(default)]
    pub accounts: Vec<Arc<Account>>,
}

impl Configuration {
    /// The number of routes that `other` and this configuration limit to different regions.
    pub fn regions_changed(&self, other: &Configuration) -> usize {
        let (own, others) = (self.limited_routes(), other.limited_routes());
        let changed = own.iter().filter(|(key, regions)| others.get(*key) != Some(*regions));
        changed.count() + others.keys().filter(|key| !own.contains_key(*key)).count()
    }

    /// The routes that not all regions may serve, by host and prefix.
    fn limited_routes(&self) -> HashMap<(&str, &str), &[Arc<str>]> {
        let limited = self.routes.iter().filter(|route| !route.regions.is_empty());
        let by_key = limited
            .map(|route| ((route.host.as_ref(), route.prefix.as_ref()), route.regions.as_slice()));
        by_key.collect()
    }
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It takes new requests.
    Ready,
    /// It completes its requests and takes no new ones.
    Leaving,
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The id.
    pub id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The address, which an upstream of another service may reuse later.
    pub address: std::net::SocketAddr,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes new requests.
    pub readiness: Readiness,
    /// Remaining time that it would stay cold when it registered.
    pub cold_left: Millis,
    /// Differs for each start under the same id.
    pub incarnation: u64,
}

impl Upstream {
    /// Why no requests can be sent to what the entry describes; `None` if they can. See
    /// docs/DATAPATH.md, "Odd entries".
    pub fn defect(&self) -> Option<String> {
        let ip = self.address.ip().to_canonical();
        let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
        if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() || is_broadcast {
            return Some(format!("address {} can't be connected to", self.address));
        }
        // Requests name the id in a header field.
        if self.id.is_empty() || self.id.contains(|c: char| c.is_control() || c.is_whitespace()) {
            return Some("the id is empty or contains spaces or control characters".to_owned());
        }
        if !(1..=MAX_SLOTS).contains(&self.slots) {
            return Some(format!("{} slots: expected 1 to {MAX_SLOTS}", self.slots));
        }
        if self.cold_left > MAX_COLD_SPAN {
            return Some(format!("cold for {}: expected at most {MAX_COLD_SPAN}", self.cold_left));
        }
        None
    }
}
