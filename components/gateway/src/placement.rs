//! Placement: chooses the upstream for a request with `steering`, from what this VM knows.

use crate::Settings;
use crate::core::Core;
use crate::endpoint::Endpoint;
use crate::reporting::{self, PlacementRecord};
use clock::Millis;
use std::rc::Rc;
use std::sync::Arc;
use steering::account::Account;
use steering::affinity::{self, Candidate, Choice, Full, Policy};
use steering::cross_region::Limiter;
use steering::fairness::Standing;
use steering::retry_after;
use steering::routing::{AllowedRegions, Route, Service};
use steering::upload::Allowance;
use steering::warmup;
use telemetry::names;
use xxhash_rust::xxh3::xxh3_64;

/// The part of an upstream's connections that all VMs together use. The rest covers VMs that
/// disagree on the number of VMs, and other senders' health checks.
const CONNECTIONS_USED: f64 = 0.7;

/// The longest queue at an upstream, as a multiple of its slots.
const QUEUE: f64 = 2.0;
/// Policy for requests with an affinity key. With more than one preferred upstream, objects evict
/// each other from the caches and most requests are cold; docs/PLACEMENT.md has the measurements.
const BY_OBJECT: Policy = Policy {
    preferred: 1,
    preferred_elsewhere: 1,
    queue: QUEUE,
    nearest_first: false,
    spills: false,
};
/// Policy for other requests.
const BY_LOAD: Policy = Policy {
    preferred: usize::MAX,
    preferred_elsewhere: usize::MAX,
    queue: QUEUE,
    nearest_first: true,
    spills: true,
};

/// A request to place.
pub struct Demand<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service.
    pub service: &'a Service,
    /// The regions that may get the request.
    pub allowed: &'a AllowedRegions,
    /// The affinity key, or empty.
    pub object: &'a [u8],
    /// Ids of the upstreams of earlier attempts.
    pub tried: &'a [Arc<str>],
    /// The bytes of the body.
    pub bytes: u64,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The client account, if any.
    pub account: Option<&'a Account>,
    /// Time since the request arrived.
    pub elapsed: Millis,
    /// Time until the deadline.
    pub remaining: Millis,
}

/// Chooses the upstream for a request.
///
/// # Errors
///
/// [`Full`] when no upstream could respond in time.
pub fn place(core: &Core, demand: &Demand<'_>) -> Result<(Rc<Endpoint>, Choice), Full> {
    let now = core.clock.now();
    let settings = core.settings();
    let by_object = demand.route.affinity && !demand.object.is_empty();
    let object = if by_object { xxh3_64(demand.object) } else { rand::random() };
    let standing = standing(core, demand, now);
    let upstreams = core.upstreams.borrow();
    let service_time = upstreams.service_times(&demand.route.name);
    let mut policy = if by_object { BY_OBJECT } else { BY_LOAD };
    policy.queue = queue(core, demand, standing, now);
    let limits = Limits::new(core, demand);
    let endpoints: Vec<&Rc<Endpoint>> = upstreams
        .of_service(&demand.service.name)
        .iter()
        .filter(|endpoint| is_eligible(core, demand, endpoint, limits, now))
        .collect();
    // A half-open upstream gets one request at a time.
    let is_ejected = |endpoint: &Endpoint| {
        endpoint.is_ejected(now) || (endpoint.is_half_open() && endpoint.in_flight() > 0)
    };
    let is_available = |region: &str| {
        endpoints
            .iter()
            .any(|endpoint| endpoint.region.as_deref() == Some(region) && !is_ejected(endpoint))
    };
    let region = upstreams.assigned_region(&demand.service.name, object, is_available, now);
    let region = region.unwrap_or_else(|| Arc::clone(&settings.region));
    let latencies = upstreams.network_latencies(&settings.region);
    let candidates: Vec<Candidate<'_>> = endpoints
        .iter()
        .map(|endpoint| Candidate {
            id: &endpoint.entry.id,
            slots: endpoint.slots(),
            load: endpoint.load(now),
            slowdown: endpoint.slowdown(now),
            network_latency: latencies.to(endpoint.region.as_deref()),
            assigned: endpoint.region.as_deref() == Some(region.as_ref()),
            near: endpoint.entry.domain == settings.domain,
            ejected: is_ejected(endpoint),
        })
        .collect();
    let objective = demand.route.objective - demand.elapsed;
    let preferred =
        by_object.then(|| upstreams.balance(&demand.service.name, &region, object, now)).flatten();
    let moved = preferred.and_then(|id| candidates.iter().position(|each| *each.id == *id));
    let target =
        affinity::Demand { object, moved, service_time, objective, remaining: demand.remaining };
    let selection = Selection { candidates: &candidates, demand: &target, policy: &policy };
    let choice = match demand.tried.is_empty() {
        true => selection.best_within_limit(&mut core.cross_region.borrow_mut(), now),
        // Retries are too rare for the limit on cross-region requests to apply to them.
        false => selection.best(),
    };
    let choice = choice.map_err(|full| {
        let until_room = retry_after::until_room(&candidates, &target, &policy);
        Full { retry_after: until_room.unwrap_or(full.retry_after) }
    });
    let mut urgency = core.urgency.borrow_mut();
    urgency.record(&demand.service.name, demand.priority, choice.is_ok(), now);
    if let Some(account) = demand.account {
        let (service, work) = (&demand.service.name, service_time.assigned);
        core.fairness.borrow_mut().record(service, account, work, choice.is_ok(), now);
    }
    reporting::request_placed(&PlacementRecord {
        service: &demand.service.name,
        priority: demand.priority,
        account: demand.account.map(|account| account.name.as_ref()).unwrap_or_default(),
        standing,
        room: policy.queue / QUEUE,
        outcome: choice
            .as_ref()
            .map(|choice| choice.reason.as_str())
            .map_err(|full| full.retry_after),
        distance: choice.as_ref().map_or("", |choice| distance(&settings, endpoints[choice.index])),
    });
    let choice = choice?;
    let endpoint = Rc::clone(endpoints[choice.index]);
    if endpoint.is_cold(now) {
        endpoint.record_cold_request(now, warmup::spacing(demand.service.cold_rate));
    }
    Ok((endpoint, choice))
}

/// Where an upstream is, for the metrics.
fn distance(settings: &Settings, endpoint: &Endpoint) -> &'static str {
    if endpoint.entry.domain == settings.domain {
        "domain"
    } else if endpoint.region.as_ref() == Some(&settings.region) {
        "region"
    } else {
        "elsewhere"
    }
}

/// The longest queue that a request may join, as a multiple of the slots: as its priority and its
/// account allow.
fn queue(core: &Core, demand: &Demand<'_>, standing: Standing, now: Millis) -> f64 {
    let room = core.urgency.borrow_mut().room(&demand.service.name, demand.priority, now);
    QUEUE * standing.room(room)
}

/// How the account of a request stands in its service.
fn standing(core: &Core, demand: &Demand<'_>, now: Millis) -> Standing {
    let Some(account) = demand.account else { return Standing::Within };
    core.fairness.borrow_mut().standing(&demand.service.name, account, now)
}

/// The input of a choice by `steering`.
struct Selection<'a> {
    candidates: &'a [Candidate<'a>],
    demand: &'a affinity::Demand,
    policy: &'a Policy,
}

impl Selection<'_> {
    /// The best upstream of any region.
    fn best(&self) -> Result<Choice, Full> {
        affinity::choose(self.candidates, self.demand, self.policy)
    }

    /// The best upstream that keeps the share of cross-region requests within its rate of change.
    fn best_within_limit(&self, limiter: &mut Limiter, now: Millis) -> Result<Choice, Full> {
        let best = self.best();
        let is_assigned = |each: &Candidate<'_>| each.assigned;
        if !self.candidates.iter().any(|each| each.assigned && !each.ejected)
            || self.candidates.iter().all(is_assigned)
        {
            return best;
        }
        let prefers_crossing = best.is_ok_and(|choice| !self.candidates[choice.index].assigned);
        let choice = match (limiter.decide(prefers_crossing, now), prefers_crossing) {
            (true, false) => self.best_in(false).or(best),
            (false, true) => self.best_in(true),
            _ => best,
        }?;
        limiter.record_sent(!self.candidates[choice.index].assigned);
        Ok(choice)
    }

    /// The best upstream in the assigned region, or in the others.
    fn best_in(&self, assigned: bool) -> Result<Choice, Full> {
        let indices: Vec<usize> = (0..self.candidates.len())
            .filter(|index| self.candidates[*index].assigned == assigned)
            .collect();
        let candidates: Vec<Candidate<'_>> =
            indices.iter().map(|index| self.candidates[*index]).collect();
        let moved = self.demand.moved;
        let moved = moved.and_then(|moved| indices.iter().position(|index| *index == moved));
        let demand = affinity::Demand { moved, ..*self.demand };
        let selection = Selection { candidates: &candidates, demand: &demand, ..*self };
        selection.best().map(|choice| Choice { index: indices[choice.index], ..choice })
    }
}

/// Whether an upstream may get requests in the `allowed` regions at some time.
fn is_usable(allowed: &AllowedRegions, endpoint: &Endpoint) -> bool {
    allowed.allows(endpoint.region.as_deref())
        && !endpoint.is_replaced()
        && !endpoint.statement.is_leaving()
}

/// Time until an upstream in the `allowed` regions takes requests again, if none of them wants any
/// now.
pub fn pause(core: &Core, allowed: &AllowedRegions, service: &Service) -> Option<Millis> {
    let now = core.clock.now();
    let upstreams = core.upstreams.borrow();
    let usable = upstreams.of_service(&service.name).iter();
    let usable = usable.filter(|endpoint| is_usable(allowed, endpoint));
    let until = usable.map(|endpoint| endpoint.statement.paused_until()).min()?;
    (now < until).then(|| until - now)
}

/// What this VM may use of each upstream: its share among all VMs.
#[derive(Clone, Copy)]
struct Limits {
    connections: f64,
    upload: Allowance,
}

impl Limits {
    fn new(core: &Core, demand: &Demand<'_>) -> Limits {
        let vms = core.sender_count();
        let share = f64::from(demand.service.connections) * CONNECTIONS_USED / vms as f64;
        let upload = Allowance::new(demand.bytes, vms, core.settings().memory_bytes);
        Limits { connections: share.max(1.0), upload }
    }
}

/// Whether an upstream may get the request now, whatever its load. It runs for every upstream of a
/// service, so that nothing in it may take longer in a larger fleet.
fn is_eligible(
    core: &Core,
    demand: &Demand<'_>,
    endpoint: &Rc<Endpoint>,
    limits: Limits,
    now: Millis,
) -> bool {
    is_usable(demand.allowed, endpoint)
        && !endpoint.statement.is_paused(now)
        && !demand.tried.contains(&endpoint.entry.id)
        && f64::from(endpoint.in_flight()) + 1.0 <= limits.connections
        && may_upload(limits.upload, endpoint)
        && (!endpoint.is_cold(now)
            || (endpoint.may_get_cold_request(now) && is_cold_sender(core, endpoint, now)))
}

/// Whether the upstream may be sent the body beside those that it holds.
fn may_upload(allowance: Allowance, endpoint: &Endpoint) -> bool {
    let admits = allowance.admits(endpoint.request_bytes());
    if !admits {
        metrics::counter!(names::SLOW_READERS, names::ACTION => "passed_over").increment(1);
    }
    admits
}

/// Whether this VM is one of those that send to a cold upstream.
fn is_cold_sender(core: &Core, endpoint: &Endpoint, now: Millis) -> bool {
    endpoint.is_cold_sender(now, || {
        let members = core.members.borrow();
        let vms = members.alive(now).map(|member| member.vm.as_ref());
        warmup::is_sender(&endpoint.entry.id, &core.settings().vm, now - core.started, vms)
    })
}
