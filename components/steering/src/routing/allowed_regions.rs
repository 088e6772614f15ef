use super::Route;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

/// The regions that may get a request: those that each of its routes allows.
///
/// A request has more than one route if the configuration changes before it is sent, or if its path
/// may be read in more than one way.
#[derive(Clone, Debug, Default)]
pub struct AllowedRegions {
    /// The routes that are restricted to regions.
    routes: Vec<Arc<Route>>,
}

impl AllowedRegions {
    /// Restricts the regions to those that `route` allows as well.
    pub fn restrict(&mut self, route: &Arc<Route>) {
        let is_known = self.routes.iter().any(|known| Arc::ptr_eq(known, route));
        if !route.regions.is_empty() && !is_known {
            self.routes.push(Arc::clone(route));
        }
    }

    /// Whether there are regions that may not get the request.
    pub fn is_restricted(&self) -> bool {
        !self.routes.is_empty()
    }

    /// Whether an upstream in `region` may get the request; `None` is an unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let is_allowed = |allowed: &Arc<str>| region == Some(allowed);
        self.routes.iter().all(|route| route.regions.iter().any(is_allowed))
    }
}

impl Display for AllowedRegions {
    /// The regions of each route, separated by commas; those of several routes by `&`.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let regions: Vec<String> =
            self.routes.iter().map(|route| route.regions.join(",")).collect();
        formatter.write_str(&regions.join("&"))
    }
}
