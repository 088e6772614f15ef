use super::Route;
use crate::account::Account;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

/// The regions that may get a request: those that each of its routes and its account allow.
///
/// A request has more than one route if the configuration changes before it is sent, or if its path
/// may be read in more than one way.
#[derive(Clone, Debug, Default)]
pub struct AllowedRegions {
    /// The routes that are restricted to regions.
    routes: Vec<Arc<Route>>,
    /// The accounts that are restricted to regions: the one that sent it, in each version of the
    /// configuration that applies to it.
    accounts: Vec<Arc<Account>>,
}

impl AllowedRegions {
    /// Restricts the regions to those that `route` allows as well.
    pub fn restrict(&mut self, route: &Arc<Route>) {
        let is_known = self.routes.iter().any(|known| Arc::ptr_eq(known, route));
        if !route.regions.is_empty() && !is_known {
            self.routes.push(Arc::clone(route));
        }
    }

    /// Restricts the regions to those that `account` allows as well.
    pub fn restrict_account(&mut self, account: &Arc<Account>) {
        let is_known = self.accounts.iter().any(|known| Arc::ptr_eq(known, account));
        if !account.regions.is_empty() && !is_known {
            self.accounts.push(Arc::clone(account));
        }
    }

    /// Whether there are regions that may not get the request.
    pub fn is_restricted(&self) -> bool {
        !self.routes.is_empty() || !self.accounts.is_empty()
    }

    /// Whether no region may get the request, since the lists have none in common.
    pub fn is_empty(&self) -> bool {
        let first = self.lists().next();
        first.is_some_and(|first| !first.iter().any(|region| self.allows(Some(region))))
    }

    /// Whether an upstream in `region` may get the request; `None` is an unknown region.
    pub fn allows(&self, region: Option<&str>) -> bool {
        let is_allowed = |allowed: &Arc<str>| region == Some(allowed);
        self.lists().all(|regions| regions.iter().any(is_allowed))
    }

    fn lists(&self) -> impl Iterator<Item = &[Arc<str>]> {
        let routes = self.routes.iter().map(|route| route.regions.as_slice());
        routes.chain(self.accounts.iter().map(|account| account.regions.as_slice()))
    }
}

impl Display for AllowedRegions {
    /// The regions of each route and account, separated by commas; several lists by `&`.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let regions: Vec<String> = self.lists().map(|regions| regions.join(",")).collect();
        formatter.write_str(&regions.join("&"))
    }
}
