//! All upstreams with what this VM knows of them.

use crate::Settings;
use crate::server::Server;
use clock::Millis;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use steering::affinity::ServiceTime;
use steering::assignment::{Region, Shares};
use steering::catalogue::Catalogue;
use steering::routing::Table;

/// The extra time of an answer from another region until one was measured.
const FAR_UNMEASURED: Millis = Millis(40);
/// How long an answer takes until one was measured.
const USUAL_UNMEASURED: Millis = Millis(150);
/// The weight of a new measurement in a running mean.
const MEAN_WEIGHT: f64 = 0.1;

/// The upstreams by service.
#[derive(Debug)]
pub struct Fleet {
    regions: HashMap<Arc<str>, Arc<str>>,
    region: Arc<str>,
    /// The part of a region's requests that may move between two windows.
    max_shift: f64,
    servers: HashMap<Arc<str>, Rc<Server>>,
    services: HashMap<Arc<str>, Vec<Rc<Server>>>,
    /// Where the VM's requests for each service run.
    shares: HashMap<Arc<str>, Shares>,
    /// Round trips to each region, in ms.
    round_trips: HashMap<Arc<str>, f64>,
    /// How long an answer takes on each route, without the wait and the way, in ms.
    usual: HashMap<Arc<str>, f64>,
    /// The same from upstreams outside the object's region.
    elsewhere: HashMap<Arc<str>, f64>,
}

impl Fleet {
    /// No upstreams.
    pub fn new(settings: &Settings) -> Fleet {
        Fleet {
            regions: settings.regions.clone(),
            region: Arc::clone(&settings.region),
            max_shift: settings.bounds.max_shift,
            servers: HashMap::new(),
            services: HashMap::new(),
            shares: HashMap::new(),
            round_trips: HashMap::new(),
            usual: HashMap::new(),
            elsewhere: HashMap::new(),
        }
    }

    /// Takes in what the catalogue says; an upstream that goes on keeps its observations.
    pub fn update(&mut self, catalogue: &Catalogue, table: &Table, now: Millis) {
        let mut before = std::mem::take(&mut self.servers);
        self.services.clear();
        for entry in catalogue.upstreams() {
            let known = before.remove(&entry.id).filter(|server| {
                server.entry.incarnation == entry.incarnation
                    && server.entry.address == entry.address
                    && server.entry.service == entry.service
            });
            let server = known.unwrap_or_else(|| {
                let region = self.regions.get(&entry.domain);
                let region = region.map_or_else(|| Arc::clone(&entry.domain), Arc::clone);
                Rc::new(Server::new(Arc::clone(entry), region, now))
            });
            if let Some(restored) = catalogue.restored_at(&entry.domain) {
                let span = table.service(&entry.service).map(|service| service.cold_span);
                server.chill(restored + span.unwrap_or_default());
            }
            self.servers.insert(Arc::clone(&entry.id), Rc::clone(&server));
            self.services.entry(Arc::clone(&entry.service)).or_default().push(server);
        }
        self.apportion(now);
    }

    /// Takes callers to be as many in every failure domain, which needs no talk between VMs.
    fn apportion(&mut self, now: Millis) {
        let mut demand: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
        for region in self.regions.values() {
            *demand.entry(region).or_default() += 1.0;
        }
        for (service, servers) in &self.services {
            let slots = |name: &Arc<str>| {
                let near = servers.iter().filter(|server| server.region == *name);
                near.map(|server| f64::from(server.entry.slots)).sum()
            };
            let regions: Vec<Region> = demand
                .iter()
                .map(|(name, demand)| Region {
                    name: Arc::clone(name),
                    slots: slots(name),
                    demand: *demand,
                })
                .collect();
            let shares = self.shares.entry(Arc::clone(service));
            let new = || Shares::new(Arc::clone(&self.region), self.max_shift);
            shares.or_insert_with(new).set_target(&regions, now);
        }
    }

    /// The region where requests for `object` run among the `allowed` ones, if it is known.
    pub fn region<Allowed>(
        &self,
        service: &str,
        object: u64,
        allowed: Allowed,
        now: Millis,
    ) -> Option<Arc<str>>
    where
        Allowed: Fn(&str) -> bool,
    {
        self.shares.get(service)?.region(object, allowed, now)
    }

    /// The upstreams of a service.
    pub fn of(&self, service: &str) -> &[Rc<Server>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether an upstream still takes work.
    pub fn takes(&self, server: &Rc<Server>) -> bool {
        self.servers.get(&server.entry.id).is_some_and(|known| Rc::ptr_eq(known, server))
    }

    /// Notes how long it took to open a connection to a region.
    pub fn opened(&mut self, region: &Arc<str>, took: Millis) {
        mix(self.round_trips.entry(Arc::clone(region)).or_insert(took.0 as f64), took);
    }

    /// The extra time of an answer from `region` for a VM in `own`.
    pub fn distance(&self, own: &str, region: &str) -> Millis {
        if own == region {
            return Millis::ZERO;
        }
        self.round_trips.get(region).map_or(FAR_UNMEASURED, |mean| Millis(*mean as u64))
    }

    /// Notes how long an answer took on a route, less the way, when there was no wait at an upstream
    /// that was in the object's region or not.
    pub fn answered(&mut self, route: &Arc<str>, took: Millis, planned: bool) {
        let means = if planned { &mut self.usual } else { &mut self.elsewhere };
        mix(means.entry(Arc::clone(route)).or_insert(took.0 as f64), took);
    }

    /// What is usual on a route, in the object's region and elsewhere.
    pub fn work(&self, route: &str) -> ServiceTime {
        let planned = self.usual(route);
        let elsewhere = self.elsewhere.get(route).map(|mean| Millis(*mean as u64));
        ServiceTime { assigned: planned, elsewhere: elsewhere.unwrap_or(planned).max(planned) }
    }

    /// How long an answer takes on a route without the wait and the way.
    pub fn usual(&self, route: &str) -> Millis {
        self.usual.get(route).map_or(USUAL_UNMEASURED, |mean| Millis(*mean as u64))
    }
}

fn mix(mean: &mut f64, value: Millis) {
    *mean += (value.0 as f64 - *mean) * MEAN_WEIGHT;
}
