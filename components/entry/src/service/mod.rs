//! This VM's observations of each service: its upstreams, latencies and retry budget.

mod leaving;
mod services;
mod state;

pub(crate) use leaving::{Leaving, Source};
pub(crate) use services::Services;
pub(crate) use state::{AttemptResult, Service};
