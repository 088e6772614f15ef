use crate::core::Core;
use std::sync::Arc;
use steering::planner::{Ack, Demand};

/// What `entryd` tells its `controld`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The incarnation of this `entryd`.
    pub incarnation: u64,
    /// The plan that it enforces and how far its shift has come here.
    pub ack: Ack,
    /// What its callers ask for.
    pub demand: Demand,
    /// Requests that it is serving.
    pub in_flight: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Upstreams that told it that they leave.
    pub leaving_upstreams: Vec<Arc<str>>,
}

impl Report {
    pub(crate) fn new(core: &Core) -> Report {
        let now = core.clock.now();
        let view = core.view.load_full();
        let mut limits = core.limits();
        let ack = view.map(|view| limits.ack(&view, now)).unwrap_or_default();
        let demand = limits.demand();
        drop(limits);
        Report {
            incarnation: core.config.incarnation,
            ack,
            demand,
            in_flight: core.gate.in_flight() as u32,
            leaving: core.gate.is_leaving(),
            leaving_upstreams: core.services().leaving.names(),
        }
    }
}
