use crate::Draft;
use std::collections::BTreeMap;
use std::sync::Arc;
use steering::cap::Tolerance;

/// What a draft is checked against; what is not known is not checked.
#[derive(Clone, Debug, Default)]
pub struct Context {
    /// The configuration in force.
    pub in_force: Option<Draft>,
    /// The number of failure domains of each region.
    pub regions: Option<BTreeMap<Arc<str>, usize>>,
    /// How usage caps are counted.
    pub tolerance: Option<Tolerance>,
    /// Requests a second that accounts send today.
    pub usage: BTreeMap<Arc<str>, f64>,
}
