use crate::blocking::Blocking;
use crate::headroom::Headroom;
use crate::orders::Orders;
use crate::spread::Spreads;
use crate::stragglers::Stragglers;
use crate::{Scene, Table};

/// A question put to the decisions, with its target stated before the result.
pub trait Experiment {
    /// The name on the command line.
    fn name(&self) -> &'static str;

    /// One line on what is measured.
    fn about(&self) -> &'static str;

    /// Measures every policy with every seed.
    fn run(&self, seeds: &[u64], scene: Scene) -> Table;
}

/// Every experiment, in the order of `bench list`.
pub fn experiments() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(Stragglers),
        Box::new(Blocking),
        Box::new(Headroom),
        Box::new(Orders),
        Box::new(Spreads),
    ]
}
