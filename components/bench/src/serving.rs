//! Requests from entry VMs to the upstreams of one service, in virtual time.

mod demand;
mod policy;

pub use demand::{Demand, Long, Slowdown};
pub use policy::Policy;

use crate::fake::Server;
use crate::queue::Queue;
use clock::Millis;
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use settings::Class;
use std::collections::VecDeque;
use steering::choice::{
    Choice, Member, Outcome, Pool, Reason, Report, Subset, Task, Ticket, Unavailable,
};
use steering::class::Classes;
use steering::hedge::{Budget, Delay};

/// The mean time of a short request: half of it fixed, half exponential.
const SHORT_MEAN_US: u64 = 20_000;
const WARM_UP_US: u64 = 10_000_000;
const REPORT_PERIOD_US: u64 = 1_000_000;
const HISTOGRAM_DIGITS: u8 = 3;
const SHORT_PATH: &str = "/status/one";
const LONG_PATH: &str = "/history/one";
/// Virtual time starts late, so that spans before it don't saturate.
const EPOCH_MS: u64 = 1_000_000;

/// What one run brought.
#[derive(Clone, Debug)]
pub struct Served {
    /// Latency of short requests at the entry VM, in microseconds.
    pub short: Histogram<u64>,
    /// Long requests answered while measuring.
    pub long_answered: u64,
    /// First attempts.
    pub first: u64,
    /// Hedges.
    pub extra: u64,
}

#[derive(Debug)]
enum Event {
    Arrive { entry: usize },
    Reach { attempt: usize },
    Done { attempt: usize },
    Answer { attempt: usize },
    Cancel { attempt: usize },
    Hedge { request: usize },
    Sample,
    Report { server: usize, running: u32, waiting: u32 },
    Slow,
}

struct Request {
    entry: usize,
    at: u64,
    work: u64,
    long: bool,
    class: Class,
    tried: Vec<usize>,
    attempts: Vec<usize>,
    answered: bool,
}

struct Attempt {
    request: usize,
    server: usize,
    ticket: Ticket,
    over: bool,
}

struct Vm {
    pool: Pool,
    /// The number of the server behind each index of the pool.
    servers: Vec<usize>,
    choice: Box<dyn Choice>,
    classes: Classes,
    delay: Delay,
    budget: Budget,
    waiting: VecDeque<usize>,
}

struct World<'a> {
    demand: &'a Demand,
    policy: Policy,
    end: u64,
    now: u64,
    queue: Queue<Event>,
    arrivals: StdRng,
    draws: StdRng,
    /// Requests sent to each server and not yet ended there.
    assigned: Vec<u64>,
    slowed: Vec<usize>,
    vms: Vec<Vm>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    result: Served,
}

/// Serves a demand with one policy; the same seed gives every policy the same requests.
pub fn serve(demand: &Demand, policy: Policy, seed: u64) -> Served {
    let mut world = World::new(demand, policy, seed);
    world.begin();
    while let Some((at, event)) = world.queue.next() {
        if at >= world.end {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.result
}

impl<'a> World<'a> {
    fn new(demand: &'a Demand, policy: Policy, seed: u64) -> World<'a> {
        let snapshot = demand.scene.snapshot();
        let mut arrivals = StdRng::seed_from_u64(seed);
        let slowed = draw_slowed(demand, snapshot.upstreams.len(), &mut arrivals);
        let vm = |name: &str| {
            let mut roster = Subset::new(&snapshot, demand.scene.status_service(), name);
            if policy == Policy::RankedRegion {
                let far = demand.scene.region_round_trip();
                roster.candidates.retain(|candidate| candidate.round_trip < far);
            }
            let mut pool = Pool::new();
            pool.update(&roster, Millis(EPOCH_MS));
            let number = |member: &Member| {
                snapshot.upstreams.iter().position(|upstream| upstream.name == member.name)
            };
            Vm {
                servers: pool.members().iter().filter_map(number).collect(),
                pool,
                choice: policy.choice(),
                classes: Classes::new(Class::Short),
                delay: Delay::new(),
                budget: Budget::new(snapshot.preset.hedge_budget),
                waiting: VecDeque::new(),
            }
        };
        World {
            demand,
            policy,
            end: WARM_UP_US + demand.seconds * 1_000_000,
            now: 0,
            queue: Queue::new(),
            arrivals,
            draws: StdRng::seed_from_u64(seed ^ u64::MAX),
            assigned: vec![0; snapshot.upstreams.len()],
            slowed,
            vms: snapshot.vms.iter().map(|entry| vm(&entry.name)).collect(),
            servers: snapshot.upstreams.iter().map(|_| Server::new(demand.scene.slots())).collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            result: Served {
                short: Histogram::new(HISTOGRAM_DIGITS).expect("the digits are in range"),
                long_answered: 0,
                first: 0,
                extra: 0,
            },
        }
    }

    fn begin(&mut self) {
        for entry in 0..self.vms.len() {
            self.schedule_arrival(entry);
        }
        self.queue.add(REPORT_PERIOD_US, Event::Sample);
        self.queue.add(WARM_UP_US, Event::Slow);
    }

    fn clock(&self) -> Millis {
        Millis(EPOCH_MS + self.now / 1000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { entry } => self.arrive(entry),
            Event::Reach { attempt } => self.reach(attempt),
            Event::Done { attempt } => self.done(attempt),
            Event::Answer { attempt } => self.answer(attempt),
            Event::Cancel { attempt } => self.end_at_server(attempt),
            Event::Hedge { request } => self.hedge(request),
            Event::Sample => self.sample(),
            Event::Report { server, running, waiting } => self.report(server, running, waiting),
            Event::Slow => self.slow(),
        }
    }

    fn schedule_arrival(&mut self, entry: usize) {
        let gap = exponential(&mut self.arrivals, 1e6 / self.demand.rate);
        self.queue.add(self.now + gap, Event::Arrive { entry });
    }

    fn arrive(&mut self, entry: usize) {
        self.schedule_arrival(entry);
        let part = self.demand.long.map_or(0.0, |long| long.part);
        let long = self.arrivals.random_bool(part);
        let factor = self.demand.long.filter(|_| long).map_or(1, |long| long.factor);
        let half = SHORT_MEAN_US / 2;
        let work = factor * (half + exponential(&mut self.arrivals, half as f64));
        if self.demand.only_long && !long {
            return;
        }
        let path = if long { LONG_PATH } else { SHORT_PATH };
        let class = match self.policy.is_ours() {
            true => self.vms[entry].classes.class(path),
            false => Class::Short,
        };
        let (tried, attempts) = (Vec::new(), Vec::new());
        let at = self.now;
        self.requests.push(Request {
            entry,
            at,
            work,
            long,
            class,
            tried,
            attempts,
            answered: false,
        });
        self.dispatch(self.requests.len() - 1);
    }

    /// Sends a request's first attempt, or lets a long one wait for a slot.
    fn dispatch(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        match self.send(request) {
            Ok(reason) => {
                self.result.first += 1;
                self.vms[entry].budget.earn();
                self.schedule_hedge(request, reason);
            }
            Err(_) => self.vms[entry].waiting.push_back(request),
        }
    }

    fn schedule_hedge(&mut self, request: usize, reason: Reason) {
        if !self.policy.hedges() {
            return;
        }
        let vm = &self.vms[self.requests[request].entry];
        let Some(delay) = vm.delay.get(self.requests[request].class, true) else { return };
        let delay = if reason == Reason::Probe { Millis::ZERO } else { delay };
        self.queue.add(self.now + delay.0 * 1000, Event::Hedge { request });
    }

    fn send(&mut self, request: usize) -> Result<Reason, Unavailable> {
        let now = self.clock();
        let state = &mut self.requests[request];
        let vm = &mut self.vms[state.entry];
        let repeatable = self.policy.is_ours();
        let task = Task { class: state.class, idempotent: repeatable, tried: state.tried.clone() };
        let mut pick = vm.choice.choose(&mut vm.pool, &task, now, &mut self.draws)?;
        if self.policy == Policy::Omniscient {
            pick.index = best_server(&self.servers, &self.assigned, &vm.pool);
        }
        let server = vm.servers[pick.index];
        self.assigned[server] += 1;
        let probe = pick.reason == Reason::Probe;
        let ticket = vm.pool.start(pick.index, state.class, probe, now);
        let attempt = self.attempts.len();
        state.tried.push(pick.index);
        state.attempts.push(attempt);
        let one_way = vm.pool.members()[pick.index].round_trip.0 * 500;
        self.attempts.push(Attempt { request, server, ticket, over: false });
        self.queue.add(self.now + one_way, Event::Reach { attempt });
        Ok(pick.reason)
    }

    fn hedge(&mut self, request: usize) {
        let state = &self.requests[request];
        let entry = state.entry;
        if state.answered || !self.vms[entry].budget.spend() {
            return;
        }
        if self.send(request).is_ok() {
            self.result.extra += 1;
        }
    }

    fn reach(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        if self.servers[self.attempts[attempt].server].take(attempt) {
            self.run(attempt);
        }
    }

    fn run(&mut self, attempt: usize) {
        let Attempt { request, server, .. } = self.attempts[attempt];
        let work = self.requests[request].work * self.servers[server].slowness;
        self.queue.add(self.now + work, Event::Done { attempt });
    }

    fn done(&mut self, attempt: usize) {
        if !self.servers[self.attempts[attempt].server].runs(attempt) {
            return;
        }
        self.end_at_server(attempt);
        let one_way = self.one_way(attempt);
        self.queue.add(self.now + one_way, Event::Answer { attempt });
    }

    fn end_at_server(&mut self, attempt: usize) {
        let server = self.attempts[attempt].server;
        self.assigned[server] -= 1;
        if let Some(next) = self.servers[server].end(attempt) {
            self.run(next);
        }
    }

    fn one_way(&self, attempt: usize) -> u64 {
        let Attempt { request, ticket, .. } = self.attempts[attempt];
        let entry = self.requests[request].entry;
        self.vms[entry].pool.members()[ticket.index].round_trip.0 * 500
    }

    fn answer(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        let request = self.attempts[attempt].request;
        self.close(attempt, Outcome::Answered);
        self.requests[request].answered = true;
        for other in self.requests[request].attempts.clone() {
            if !self.attempts[other].over {
                self.close(other, Outcome::Cancelled);
                let one_way = self.one_way(other);
                self.queue.add(self.now + one_way, Event::Cancel { attempt: other });
            }
        }
        self.record(request, attempt);
        self.resume(self.requests[request].entry);
    }

    fn close(&mut self, attempt: usize, outcome: Outcome) {
        let now = self.clock();
        let entry = self.requests[self.attempts[attempt].request].entry;
        self.attempts[attempt].over = true;
        self.vms[entry].pool.finish(self.attempts[attempt].ticket, outcome, now);
    }

    fn record(&mut self, request: usize, attempt: usize) {
        let now = self.clock();
        let state = &self.requests[request];
        let latency = self.now - state.at;
        let vm = &mut self.vms[state.entry];
        let path = if state.long { LONG_PATH } else { SHORT_PATH };
        vm.classes.observe(path, now - self.attempts[attempt].ticket.at);
        if state.class == Class::Short {
            vm.delay.observe(Millis(latency / 1000));
        }
        if self.now < WARM_UP_US {
            return;
        }
        if state.long {
            self.result.long_answered += 1;
        } else if state.at >= WARM_UP_US {
            self.result.short.record(latency.max(1)).expect("the histogram grows");
        }
    }

    /// Sends the requests that waited at an entry VM, as far as there is room.
    fn resume(&mut self, entry: usize) {
        for _ in 0..self.vms[entry].waiting.len() {
            let Some(request) = self.vms[entry].waiting.pop_front() else { return };
            if let Err(_refused) = self.send(request) {
                self.vms[entry].waiting.push_front(request);
                return;
            }
            self.result.first += 1;
            self.vms[entry].budget.earn();
        }
    }

    fn sample(&mut self) {
        self.queue.add(self.now + REPORT_PERIOD_US, Event::Sample);
        for server in 0..self.servers.len() {
            let (running, waiting) = self.servers[server].load();
            let at = self.now + self.demand.report_lag.0 * 1000;
            self.queue.add(at, Event::Report { server, running, waiting });
        }
    }

    fn report(&mut self, server: usize, running: u32, waiting: u32) {
        let at = self.clock();
        for vm in &mut self.vms {
            if let Some(index) = vm.servers.iter().position(|&number| number == server) {
                vm.pool.report(index, Report { at, running, waiting });
            }
        }
    }

    fn slow(&mut self) {
        let factor = self.demand.slowdown.map_or(1, |slowdown| slowdown.factor);
        for &server in &self.slowed {
            self.servers[server].slowness = factor;
        }
    }
}

/// The server that is expected to answer first, with everything known but the requests' work.
fn best_server(servers: &[Server], assigned: &[u64], pool: &Pool) -> usize {
    let expected = |server: &usize| {
        let round_trip = pool.members()[*server].round_trip.0 * 1000;
        let slots = servers[*server].slots() as u64;
        let ahead = (assigned[*server] + 1).saturating_sub(slots);
        let service = SHORT_MEAN_US * servers[*server].slowness;
        round_trip + service + service * ahead / slots
    };
    (0..servers.len()).min_by_key(expected).unwrap_or(0)
}

fn draw_slowed(demand: &Demand, servers: usize, rng: &mut StdRng) -> Vec<usize> {
    let wanted = demand.slowdown.map_or(0, |slowdown| slowdown.servers);
    let mut slowed = Vec::new();
    while slowed.len() < wanted.min(servers) {
        let server = rng.random_range(0..servers);
        if !slowed.contains(&server) {
            slowed.push(server);
        }
    }
    slowed
}

fn exponential(rng: &mut StdRng, mean: f64) -> u64 {
    let uniform: f64 = rng.random();
    (-mean * (1.0 - uniform).ln()) as u64
}
