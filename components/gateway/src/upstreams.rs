//! All upstreams, with this VM's connections and measurements.

use crate::Settings;
use crate::endpoint::Endpoint;
use crate::reporting;
use crate::statement::Statements;
use clock::Millis;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use steering::affinity::ServiceTime;
use steering::assignment::{Region, Shares};
use steering::balance::{self, Balance};
use steering::catalogue::Catalogue;
use steering::routing::Table;
use steering::shedding::Rate;

/// Network latency to another region until it is measured.
const DEFAULT_NETWORK_LATENCY: Millis = Millis(40);
/// Service time of a route until it is measured.
const DEFAULT_SERVICE_TIME: Millis = Millis(150);
/// Weight of a new sample in an exponentially weighted moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Objects of a service and their preferred upstreams, by region.
type Balances = HashMap<Arc<str>, Balance>;

/// Endpoints by service, and measurements by region and route.
#[derive(Debug)]
pub struct Upstreams {
    /// The region of every failure domain.
    regions: HashMap<Arc<str>, Arc<str>>,
    /// The region of this VM.
    region: Arc<str>,
    /// The part of a region's requests that may move between two windows, 0 to 1.
    max_shift: f64,
    by_id: HashMap<Arc<str>, Rc<Endpoint>>,
    by_service: HashMap<Arc<str>, Vec<Rc<Endpoint>>>,
    /// What upstreams have stated in their responses.
    statements: Statements,
    /// Assignment of objects to regions, by service.
    shares: HashMap<Arc<str>, Shares>,
    /// How often upstreams with free slots shed requests, by service.
    shedding: HashMap<Arc<str>, Rate>,
    /// Objects and their preferred upstreams, by service and region.
    balances: RefCell<HashMap<Arc<str>, Balances>>,
    /// Mean time to connect to each region, in ms: a round trip.
    round_trip_ms: HashMap<Arc<str>, f64>,
    /// Mean service time of each route in the object's assigned region, in ms: without the wait in
    /// the upstream's queue and the network latency.
    assigned_ms: HashMap<Arc<str>, f64>,
    /// Mean service time of each route in other regions, in ms.
    elsewhere_ms: HashMap<Arc<str>, f64>,
}

impl Upstreams {
    /// A state without upstreams or measurements.
    pub fn new(settings: &Settings) -> Upstreams {
        Upstreams {
            regions: settings.regions.clone(),
            region: Arc::clone(&settings.region),
            max_shift: settings.bounds.max_shift,
            by_id: HashMap::new(),
            by_service: HashMap::new(),
            statements: Statements::default(),
            shares: HashMap::new(),
            shedding: HashMap::new(),
            balances: RefCell::default(),
            round_trip_ms: HashMap::new(),
            assigned_ms: HashMap::new(),
            elsewhere_ms: HashMap::new(),
        }
    }

    /// Sets the region of every failure domain, for the next [`Upstreams::update`].
    pub fn set_regions(&mut self, regions: HashMap<Arc<str>, Arc<str>>) {
        self.regions = regions;
    }

    /// Rebuilds the endpoints from the catalogue. An upstream with the same incarnation, address,
    /// service and region keeps its connections and observations.
    pub fn update(&mut self, catalogue: &Catalogue, table: &Table, now: Millis) {
        let mut before = std::mem::take(&mut self.by_id);
        self.by_service.clear();
        for entry in catalogue.upstreams() {
            let region = self.regions.get(&entry.domain).cloned();
            let known = before.remove(&entry.id).filter(|endpoint| {
                endpoint.entry.incarnation == entry.incarnation
                    && endpoint.entry.address == entry.address
                    && endpoint.entry.service == entry.service
                    && endpoint.region == region
            });
            let statement = self.statements.of(entry, now);
            let endpoint = known.unwrap_or_else(|| {
                if region.is_none() {
                    log::warn!(
                        target: "belief", upstream = entry.id.as_ref(),
                        domain = entry.domain.as_ref();
                        "the settings don't list the upstream's failure domain; sending it no \
                         requests on routes that are restricted to regions"
                    );
                }
                Rc::new(Endpoint::new(Arc::clone(entry), region, statement, now))
            });
            endpoint.apply_entry(entry, now);
            if let Some(restored) = catalogue.restored_at(&entry.domain) {
                let span = table.service(&entry.service).map(|service| service.cold_span);
                endpoint.mark_cold(restored + span.unwrap_or_default());
            }
            self.by_id.insert(Arc::clone(&entry.id), Rc::clone(&endpoint));
            self.by_service.entry(Arc::clone(&entry.service)).or_default().push(endpoint);
        }
        self.statements.expire(now);
        let is_known = |service: &Arc<str>| table.service(service).is_some();
        let by_service = &self.by_service;
        self.shedding.retain(|service, _| is_known(service));
        self.shares.retain(|service, _| by_service.contains_key(service) || is_known(service));
        self.balances.get_mut().retain(|service, _| by_service.contains_key(service));
        self.assign_regions(now);
    }

    /// Updates the assignment of objects to regions. It assumes the same demand in every failure
    /// domain, so that VMs agree without exchanging messages.
    fn assign_regions(&mut self, now: Millis) {
        let mut demand: BTreeMap<&Arc<str>, f64> = BTreeMap::new();
        for region in self.regions.values() {
            *demand.entry(region).or_default() += 1.0;
        }
        for (service, endpoints) in &self.by_service {
            let slots = |name: &Arc<str>| {
                let local =
                    endpoints.iter().filter(|endpoint| endpoint.region.as_ref() == Some(name));
                local.map(|endpoint| f64::from(endpoint.slots())).sum()
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

    /// The region that `object` is assigned to among the `allowed` ones; `None` if the service has
    /// no upstreams or none is allowed.
    pub fn assigned_region<Allowed>(
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

    /// Records a request for an `object` that is assigned to `region`; returns the upstream that it
    /// prefers there, if that isn't the first of its ranking.
    pub fn balance(
        &self,
        service: &Arc<str>,
        region: &Arc<str>,
        object: u64,
        now: Millis,
    ) -> Option<Arc<str>> {
        let mut balances = self.balances.borrow_mut();
        let balance = balances.entry(Arc::clone(service)).or_default();
        let balance = balance.entry(Arc::clone(region)).or_default();
        let assignment = balance.record(object, now, || {
            let local = self.of_service(service).iter();
            let local = local.filter(|endpoint| endpoint.region.as_ref() == Some(region));
            let usable = local
                .filter(|endpoint| !endpoint.is_replaced() && !endpoint.statement.is_leaving());
            let upstream = |endpoint: &Rc<Endpoint>| balance::Upstream {
                id: Arc::clone(&endpoint.entry.id),
                slots: endpoint.slots(),
            };
            usable.map(upstream).collect()
        });
        if let Some(assignment) = assignment {
            reporting::objects_assigned(service, region, &assignment);
        }
        balance.moved(object).cloned()
    }

    /// All endpoints with idle connections.
    pub fn with_idle_connections(&self) -> Vec<Rc<Endpoint>> {
        let idle = self.by_id.values().filter(|endpoint| !endpoint.pool.borrow().is_empty());
        idle.cloned().collect()
    }

    /// All endpoints.
    pub fn all(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        self.by_id.values()
    }

    /// The endpoints of a service.
    pub fn of_service(&self, service: &str) -> &[Rc<Endpoint>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Whether an endpoint is still in use, neither removed nor replaced.
    pub fn contains(&self, endpoint: &Rc<Endpoint>) -> bool {
        self.by_id.get(&endpoint.entry.id).is_some_and(|known| Rc::ptr_eq(known, endpoint))
    }

    /// How often upstreams of `service` with free slots shed requests.
    pub fn shedding(&mut self, service: &Arc<str>) -> &mut Rate {
        self.shedding.entry(Arc::clone(service)).or_default()
    }

    /// Records how long it took to open a connection to a region.
    pub fn record_connect(&mut self, region: &Arc<str>, took: Millis) {
        add_sample(self.round_trip_ms.entry(Arc::clone(region)).or_insert(took.0 as f64), took);
    }

    /// The network latency that a response from `region` adds for a VM in `own`.
    pub fn network_latency(&self, own: &str, region: Option<&str>) -> Millis {
        self.network_latencies(own).to(region)
    }

    /// The network latencies that responses add for a VM in `own`.
    pub fn network_latencies<'a>(&'a self, own: &'a str) -> NetworkLatencies<'a> {
        let means = self.round_trip_ms.iter();
        let means = means.map(|(region, mean)| (region.as_ref(), Millis(*mean as u64)));
        NetworkLatencies { own, means: means.collect() }
    }

    /// Records the service time of a request that was not queued at the upstream; `assigned` is
    /// whether the upstream is in the object's assigned region.
    pub fn record_service_time(&mut self, route: &Arc<str>, took: Millis, assigned: bool) {
        let means = if assigned { &mut self.assigned_ms } else { &mut self.elsewhere_ms };
        add_sample(means.entry(Arc::clone(route)).or_insert(took.0 as f64), took);
    }

    /// The mean service times of a route, in the object's assigned region and elsewhere.
    pub fn service_times(&self, route: &str) -> ServiceTime {
        let assigned = self.service_time(route);
        let elsewhere = self.elsewhere_ms.get(route).map(|mean| Millis(*mean as u64));
        ServiceTime { assigned, elsewhere: elsewhere.unwrap_or(assigned).max(assigned) }
    }

    /// The mean service time of a route in the object's assigned region.
    pub fn service_time(&self, route: &str) -> Millis {
        self.assigned_ms.get(route).map_or(DEFAULT_SERVICE_TIME, |mean| Millis(*mean as u64))
    }
}

/// Network latencies by region; there are few regions.
pub struct NetworkLatencies<'a> {
    own: &'a str,
    means: Vec<(&'a str, Millis)>,
}

impl NetworkLatencies<'_> {
    /// The latency that a response from `region` adds.
    pub fn to(&self, region: Option<&str>) -> Millis {
        if region == Some(self.own) {
            return Millis::ZERO;
        }
        let mean = self.means.iter().find(|(name, _)| Some(*name) == region);
        mean.map_or(DEFAULT_NETWORK_LATENCY, |(_, mean)| *mean)
    }
}

fn add_sample(mean: &mut f64, value: Millis) {
    *mean += (value.0 as f64 - *mean) * SAMPLE_WEIGHT;
}
