//! The load of a run, and the faults injected into it.

use super::MEAN_SHORT_US;
use crate::Scenario;
use clock::Millis;

/// The load of a run, and the faults injected into it.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The deployment that serves the requests.
    pub scenario: Scenario,
    /// Requests per second at each entry VM.
    pub rate: f64,
    /// Duration of the measurement, after a warm-up.
    pub seconds: u64,
    /// The long requests; `None` if all requests are short.
    pub long: Option<Long>,
    /// Whether short requests are generated but not sent, to measure the long ones alone.
    pub only_long: bool,
    /// Upstreams that are slow from the end of the warm-up.
    pub slowdown: Option<Slowdown>,
    /// Time from the sampling of an upstream's load to the arrival of its report.
    pub report_delay: Millis,
}

/// How many long requests there are, and how long they take.
#[derive(Clone, Copy, Debug)]
pub struct Long {
    /// The share of all requests that are long (0 to 1).
    pub share: f64,
    /// How many times the time of a short request they take.
    pub factor: u64,
}

/// How many upstreams become slow, and by how much; the seed selects which.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Number of slow upstreams.
    pub upstreams: usize,
    /// How many times the normal time a request takes there.
    pub factor: u64,
}

impl Demand {
    /// The rate at each entry VM, in requests per second, that keeps the share `load` of all slots
    /// busy if a request takes `mean_us` on average.
    pub fn rate(scenario: Scenario, load: f64, mean_us: f64) -> f64 {
        let snapshot = scenario.snapshot();
        let slots = snapshot.upstreams.len() as f64 * f64::from(scenario.slots());
        load * slots / (mean_us / 1e6) / snapshot.vms.len() as f64
    }

    /// The mean time that an upstream takes for a request, in microseconds.
    pub fn mean_us(long: Option<Long>) -> f64 {
        let added = long.map_or(0.0, |long| long.share * (long.factor as f64 - 1.0));
        MEAN_SHORT_US as f64 * (1.0 + added)
    }
}
