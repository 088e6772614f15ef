use super::Route;
use std::sync::Arc;

/// The regions that may get a request: those that each of its routes allows.
///
/// A request has more than one route if the configuration changes before it is sent.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    /// The routes that are restricted to regions.
    routes: Vec<Arc<Route>>,
}

impl Homes {
    /// Restricts the regions to those that `route` allows as well.
    pub fn restrict(&mut self, route: &Arc<Route>) {
        if !route.regions.is_empty() {
            self.routes.push(Arc::clone(route));
        }
    }

    /// Whether there are regions that may not get the request.
    pub fn is_restricted(&self) -> bool {
        !self.routes.is_empty()
    }

    /// Whether an upstream in `region` may get the request; `None` is an unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let is_home = |home: &Arc<str>| region == Some(home);
        self.routes.iter().all(|route| route.regions.iter().any(is_home))
    }
}
