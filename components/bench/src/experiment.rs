use crate::blocking::Blocking;
use crate::headroom::Headroom;
use crate::orders::Orders;
use crate::propagation::Propagation;
use crate::stragglers::Stragglers;
use crate::{Scenario, Table};

/// A measurement of the decisions of `steering` under every policy, with targets set in advance.
pub trait Experiment {
    /// The name on the command line and in JSON.
    fn name(&self) -> &'static str;

    /// One line that says what is measured, printed by `bench list`.
    fn about(&self) -> &'static str;

    /// Measures every policy with every seed.
    fn run(&self, seeds: &[u64], scenario: Scenario) -> Table;
}

/// Every experiment, in the order of `bench list`.
pub fn experiments() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(Stragglers),
        Box::new(Blocking),
        Box::new(Headroom),
        Box::new(Orders),
        Box::new(Propagation::SMALL),
        Box::new(Propagation::LARGE),
    ]
}
