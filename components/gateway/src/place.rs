//! Gathers what is known of a service's upstreams and asks `steering` which one gets a request.

use crate::core::Core;
use crate::server::Server;
use clock::Millis;
use std::rc::Rc;
use std::sync::Arc;
use steering::affinity::{self, Candidate, Choice, Full, Policy};
use steering::cross_region::Limiter;
use steering::routing::{Route, Service};
use steering::warmup;
use xxhash_rust::xxh3::xxh3_64;

/// The part of an upstream's connections that all VMs together open; the rest covers VMs that
/// disagree on the fleet's size and health checks of others.
const CONNECTIONS_USED: f64 = 0.7;

/// How requests of routes with affinity are placed: more homes than one evict each other's objects
/// and make most work cold. docs/PLACEMENT.md has the measurements.
const BY_OBJECT: Policy =
    Policy { preferred: 1, preferred_elsewhere: 1, queue: 2.0, spills: false };
/// How other requests are placed.
const BY_LOAD: Policy =
    Policy { preferred: usize::MAX, preferred_elsewhere: usize::MAX, queue: 2.0, spills: true };

/// What has to be placed.
pub struct Demand<'a> {
    /// The route.
    pub route: &'a Route,
    /// The service.
    pub service: &'a Service,
    /// The object, as the caller named it.
    pub object: &'a [u8],
    /// Upstreams that were tried.
    pub tried: &'a [Arc<str>],
    /// The time since the request arrived.
    pub waited: Millis,
    /// The time left.
    pub left: Millis,
}

/// The upstream for a request.
///
/// # Errors
///
/// [`Full`] when none could answer in time.
pub fn place(core: &Core, demand: &Demand<'_>) -> Result<(Rc<Server>, Choice), Full> {
    let now = core.clock.now();
    let settings = core.settings();
    let fleet = core.fleet.borrow();
    let usual = fleet.work(&demand.route.name);
    let servers: Vec<&Rc<Server>> = fleet
        .of(&demand.service.name)
        .iter()
        .filter(|server| is_eligible(core, demand, server, now))
        .collect();
    let by_object = demand.route.affinity && !demand.object.is_empty();
    let policy = if by_object { BY_OBJECT } else { BY_LOAD };
    let object = if by_object { xxh3_64(demand.object) } else { rand::random() };
    let is_shunned =
        |server: &Server| server.is_shunned(now) || (server.is_suspect() && server.in_flight() > 0);
    let takes = |region: &str| {
        servers.iter().any(|server| *server.region == *region && !is_shunned(server))
    };
    let region = fleet.region(&demand.service.name, object, takes, now);
    let region = region.unwrap_or_else(|| Arc::clone(&settings.region));
    let candidates: Vec<Candidate<'_>> = servers
        .iter()
        .map(|server| Candidate {
            id: &server.entry.id,
            slots: server.entry.slots,
            load: server.load(now),
            slowdown: server.slowness(now),
            network_latency: fleet.distance(&settings.region, &server.region),
            assigned: server.region == region,
            ejected: is_shunned(server),
        })
        .collect();
    let objective = demand.route.objective - demand.waited;
    let wish = affinity::Demand { object, service_time: usual, objective, remaining: demand.left };
    let ask = Ask { candidates: &candidates, demand: &wish, policy: &policy };
    let choice = match demand.tried.is_empty() {
        true => ask.steered(&mut core.crossing.borrow_mut(), now)?,
        // A second try is rare and takes what it gets.
        false => ask.any()?,
    };
    let server = Rc::clone(servers[choice.index]);
    if server.is_cold(now) {
        server.cold_sent(now, warmup::spacing(demand.service.cold_rate));
    }
    Ok((server, choice))
}

/// A question to `steering`.
struct Ask<'a> {
    candidates: &'a [Candidate<'a>],
    demand: &'a affinity::Demand,
    policy: &'a Policy,
}

impl Ask<'_> {
    /// The best upstream of any region.
    fn any(&self) -> Result<Choice, Full> {
        affinity::choose(self.candidates, self.demand, self.policy)
    }

    /// The best upstream, with the share of requests that leave their planned region kept steady.
    fn steered(&self, crossing: &mut Limiter, now: Millis) -> Result<Choice, Full> {
        let best = self.any();
        let is_planned = |each: &Candidate<'_>| each.assigned;
        if !self.candidates.iter().any(|each| each.assigned && !each.ejected)
            || self.candidates.iter().all(is_planned)
        {
            return best;
        }
        let wants = best.is_ok_and(|choice| !self.candidates[choice.index].assigned);
        let choice = match (crossing.decide(wants, now), wants) {
            (true, false) => self.within(false).or(best),
            (false, true) => self.within(true),
            _ => best,
        }?;
        crossing.record_sent(!self.candidates[choice.index].assigned);
        Ok(choice)
    }

    /// The best upstream in the planned region, or outside it.
    fn within(&self, planned: bool) -> Result<Choice, Full> {
        let indices: Vec<usize> = (0..self.candidates.len())
            .filter(|index| self.candidates[*index].assigned == planned)
            .collect();
        let candidates: Vec<Candidate<'_>> =
            indices.iter().map(|index| self.candidates[*index]).collect();
        let ask = Ask { candidates: &candidates, ..*self };
        ask.any().map(|choice| Choice { index: indices[choice.index], ..choice })
    }
}

fn is_eligible(core: &Core, demand: &Demand<'_>, server: &Rc<Server>, now: Millis) -> bool {
    if server.is_departed() || demand.tried.contains(&server.entry.id) {
        return false;
    }
    let regions = &demand.route.regions;
    if !regions.is_empty() && !regions.contains(&server.region) {
        return false;
    }
    let share = f64::from(demand.service.connections) * CONNECTIONS_USED / core.vms() as f64;
    if f64::from(server.in_flight()) + 1.0 > share.max(1.0) {
        return false;
    }
    if !server.is_cold(now) {
        return true;
    }
    let members = core.members.borrow();
    let vms = members.alive(now).map(|member| member.vm.as_ref());
    server.cold_ready(now)
        && warmup::is_sender(&server.entry.id, &core.settings().vm, now - core.started, vms)
}
