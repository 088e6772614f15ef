//! What callers ask for in a run, and what goes wrong.

use super::SHORT_MEAN_US;
use crate::Scene;
use clock::Millis;

/// What callers ask for and what goes wrong.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The deployment.
    pub scene: Scene,
    /// Requests a second at each entry VM.
    pub rate: f64,
    /// Seconds that are measured, after a warm-up.
    pub seconds: u64,
    /// Long requests among them.
    pub long: Option<Long>,
    /// Whether short requests are left out, to measure long ones alone.
    pub only_long: bool,
    /// Upstreams that are slowed from the end of the warm-up.
    pub slowdown: Option<Slowdown>,
    /// How late load reports arrive.
    pub report_lag: Millis,
}

/// Long requests.
#[derive(Clone, Copy, Debug)]
pub struct Long {
    /// Their part of all requests.
    pub part: f64,
    /// How many times longer they take.
    pub factor: u64,
}

/// Slowed upstreams, drawn by the seed.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// How many.
    pub servers: usize,
    /// How many times slower.
    pub factor: u64,
}

impl Demand {
    /// The rate at each entry VM that keeps `load` of all slots busy with requests of `mean_us`.
    pub fn rate(scene: Scene, load: f64, mean_us: f64) -> f64 {
        let snapshot = scene.snapshot();
        let slots = snapshot.upstreams.len() as f64 * f64::from(scene.slots());
        load * slots / (mean_us / 1e6) / snapshot.vms.len() as f64
    }

    /// The mean time of a request in microseconds.
    pub fn mean_us(long: Option<Long>) -> f64 {
        let extra = long.map_or(0.0, |long| long.part * (long.factor as f64 - 1.0));
        SHORT_MEAN_US as f64 * (1.0 + extra)
    }
}
