//! What this VM has observed of each service: its upstreams, its delays, its budget.

mod leaving;
mod services;
mod state;

pub(crate) use leaving::{Leaving, Source};
pub(crate) use services::Services;
pub(crate) use state::{Observed, Service};
