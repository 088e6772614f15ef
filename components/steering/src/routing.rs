//! Routes, services and limits that operators declare, and the table that finds a request's route.
//!
//! See docs/DATAPATH.md, "Routes".

mod split;
mod table;

pub use split::Splitter;
pub use table::Table;

use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// The request may run more than once.
    Idempotent,
    /// The request must run at most once.
    Order,
    /// A large answer; the request may run more than once.
    Download,
}

impl Effect {
    /// Whether the request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        self != Effect::Order
    }
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// A route: which requests it takes, where they go and what is promised.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name, for logs.
    pub name: Arc<str>,
    /// The host it serves, in lower case.
    pub host: Arc<str>,
    /// The start of the paths it serves; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub effect: Effect,
    /// The longest time that a request is kept.
    pub timeout: Option<Millis>,
    /// The latency objective.
    pub objective: Millis,
    /// The most upstreams that one request is sent to.
    pub attempts: u32,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The regions that may serve it; empty allows all.
    pub regions: Vec<Arc<str>>,
    /// Whether upstreams are faster with objects that they handled before.
    pub affinity: bool,
    /// Where requests go.
    pub targets: Vec<Target>,
}

/// A service: what its upstreams have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name.
    pub name: Arc<str>,
    /// The path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one upstream accepts from all VMs together.
    pub connections: u32,
    /// How long an upstream stays cold after its start.
    pub cold_span: Millis,
    /// Requests a second that a cold upstream bears.
    pub cold_rate: f64,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time from the first byte of a head to its last.
    pub head_timeout: Millis,
    /// Time that a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    /// What holds until a configuration is known.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout: Millis::from_secs(3),
            idle_timeout: Millis::from_secs(15),
        }
    }
}

/// Everything that operators declare, as one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version; a greater one replaces a smaller one and never the reverse.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Arc<Route>>,
    /// The services.
    pub services: Vec<Arc<Service>>,
    /// What callers may send.
    pub limits: Limits,
}

/// Whether an upstream takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Readiness {
    /// It does.
    Ready,
    /// It finishes what it has and takes nothing new.
    Leaving,
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The id.
    pub id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The address, which another service may get later.
    pub address: std::net::SocketAddr,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// How long it stayed cold when it said so.
    pub cold_left: Millis,
    /// A number that differs for each start under the same id.
    pub incarnation: u64,
}
