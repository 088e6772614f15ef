use super::{AllowedRegions, Configuration, Limits, Route, Service, path};
use crate::account::Directory;
use std::collections::HashMap;
use std::sync::Arc;

/// A configuration, indexed by host and path.
#[derive(Debug, Default)]
pub struct Table {
    version: u64,
    limits: Limits,
    /// The routes of each host, longest prefix first.
    hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<Service>>,
    accounts: Directory,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(configuration: &Configuration) -> Table {
        let mut hosts: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            hosts.entry(Arc::clone(&route.host)).or_default().push(Arc::clone(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = configuration.services.iter();
        let services = services.map(|each| (Arc::clone(&each.name), Arc::clone(each))).collect();
        let accounts = Directory::new(&configuration.accounts);
        let (version, limits) = (configuration.version, configuration.limits);
        Table { version, limits, hosts, services, accounts }
    }

    /// The configuration's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// The route of a request: the one with the longest matching path prefix on its host. A port in
    /// `host` and the case of its letters are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(name.as_str())?;
        routes.iter().find(|route| path.starts_with(route.prefix.as_ref()))
    }

    /// Restricts `allowed` to the regions that may get a request. The path goes on as it is, and
    /// the upstream may read it as one of another route, so that the regions of that one apply as
    /// well.
    pub fn restrict(&self, allowed: &mut AllowedRegions, host: &str, path: &str) {
        let readings = path::readings(path);
        for reading in readings.iter().map(String::as_str).chain([path]) {
            if let Some(route) = self.route(host, reading) {
                allowed.restrict(route);
            }
        }
    }

    /// The client accounts.
    pub fn accounts(&self) -> &Directory {
        &self.accounts
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}
