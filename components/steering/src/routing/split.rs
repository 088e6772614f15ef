use super::Route;
use std::collections::HashMap;
use std::sync::Arc;

/// Distributes each route's requests over its targets in proportion to their weights.
///
/// Each request goes to the target that is furthest behind its share, so that even a few requests
/// come close to the weights; a random choice would need hundreds.
#[derive(Debug, Default)]
pub struct Splitter {
    /// Requests by which each target of a route is behind its share.
    deficits: HashMap<Arc<str>, Vec<f64>>,
}

impl Splitter {
    /// Selects the service for the next request of `route`; `None` if the route has no target.
    pub fn pick(&mut self, route: &Route) -> Option<Arc<str>> {
        let total: f64 = route.targets.iter().map(|target| f64::from(target.weight)).sum();
        if route.targets.len() < 2 || total == 0.0 {
            return route.targets.first().map(|target| Arc::clone(&target.service));
        }
        let deficits = self.deficits.entry(Arc::clone(&route.name)).or_default();
        if deficits.len() != route.targets.len() {
            *deficits = vec![0.0; route.targets.len()];
        }
        for (deficit, target) in deficits.iter_mut().zip(&route.targets) {
            *deficit += f64::from(target.weight) / total;
        }
        let most = (0..deficits.len()).max_by(|a, b| deficits[*a].total_cmp(&deficits[*b]))?;
        deficits[most] -= 1.0;
        Some(Arc::clone(&route.targets[most].service))
    }

    /// Clears the deficits, for a configuration with other weights.
    pub fn reset(&mut self) {
        self.deficits.clear();
    }
}
