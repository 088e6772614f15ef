//! Simulates requests from entry VMs to the upstreams of one service, in virtual time.

mod demand;
mod policy;

pub use demand::{Demand, Long, Slowdown};
pub use policy::Policy;

use crate::fake::Upstream;
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

/// The mean time that an upstream takes for a short request, in microseconds: half of it is
/// constant, the other half exponentially distributed.
const MEAN_SHORT_US: u64 = 20_000;
const WARM_UP_US: u64 = 10_000_000;
const REPORT_PERIOD_US: u64 = 1_000_000;
const HISTOGRAM_DIGITS: u8 = 3;
const SHORT_PATH: &str = "/status/one";
const LONG_PATH: &str = "/history/one";
/// Start of virtual time, late enough that subtracting a time span does not saturate at zero.
const START_MS: u64 = 1_000_000;

/// Results of one run.
#[derive(Clone, Debug)]
pub struct Results {
    /// Latency in microseconds, at the entry VM, of the short requests that arrived after the
    /// warm-up.
    pub short: Histogram<u64>,
    /// Number of long requests that were answered after the warm-up.
    pub long_completed: u64,
    /// Number of first attempts, warm-up included.
    pub first_attempts: u64,
    /// Number of hedges, warm-up included.
    pub hedges: u64,
}

/// Events of the simulation; attempts, requests and upstreams are given by their index.
#[derive(Debug)]
enum Event {
    /// A caller's request arrives at an entry VM.
    Arrive { vm: usize },
    /// An attempt arrives at its upstream.
    Reach { attempt: usize },
    /// The upstream finishes an attempt.
    Done { attempt: usize },
    /// The response arrives at the entry VM.
    Respond { attempt: usize },
    /// The cancellation of an attempt arrives at its upstream.
    Cancel { attempt: usize },
    /// The hedging delay of a request is over.
    Hedge { request: usize },
    /// The load of every upstream is sampled.
    Sample,
    /// A load report arrives at every entry VM.
    Report { upstream: usize, running: u32, queued: u32 },
    /// The slowdown of upstreams begins.
    Slow,
}

struct Request {
    /// Index of the entry VM.
    vm: usize,
    /// Time of arrival in virtual microseconds.
    arrived_us: u64,
    /// Time that an upstream at normal speed takes for the request.
    work_us: u64,
    long: bool,
    class: Class,
    /// Indices in the VM's pool of the upstreams tried.
    tried: Vec<usize>,
    attempts: Vec<usize>,
    answered: bool,
}

struct Attempt {
    request: usize,
    upstream: usize,
    ticket: Ticket,
    /// The entry VM has received the response or cancelled the attempt.
    ended: bool,
    /// The upstream has completed the attempt or learnt that it is cancelled.
    left_upstream: bool,
}

struct Vm {
    pool: Pool,
    /// The number of the upstream at each index of the pool.
    upstreams: Vec<usize>,
    choice: Box<dyn Choice>,
    classes: Classes,
    delay: Delay,
    budget: Budget,
    /// Requests that no upstream could take yet.
    queued: VecDeque<usize>,
}

struct Simulation<'a> {
    demand: &'a Demand,
    policy: Policy,
    end_us: u64,
    now_us: u64,
    queue: Queue<Event>,
    /// Draws arrivals, work and slow upstreams, so that these don't depend on the policy.
    arrivals_rng: StdRng,
    policy_rng: StdRng,
    /// Attempts sent to each upstream that have not ended there.
    outstanding: Vec<u64>,
    slow_upstreams: Vec<usize>,
    vms: Vec<Vm>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    result: Results,
}

/// Simulates `demand` with one policy; the same seed gives every policy the same requests.
pub fn serve(demand: &Demand, policy: Policy, seed: u64) -> Results {
    let mut simulation = Simulation::new(demand, policy, seed);
    simulation.schedule_first_events();
    while let Some((at, event)) = simulation.queue.next() {
        if at >= simulation.end_us {
            break;
        }
        simulation.now_us = at;
        simulation.handle(event);
    }
    simulation.result
}

impl<'a> Simulation<'a> {
    fn new(demand: &'a Demand, policy: Policy, seed: u64) -> Simulation<'a> {
        let snapshot = demand.scenario.snapshot();
        let mut arrivals_rng = StdRng::seed_from_u64(seed);
        let slow_upstreams =
            draw_slow_upstreams(demand, snapshot.upstreams.len(), &mut arrivals_rng);
        let vm = |name: &str| {
            let mut subset = Subset::new(&snapshot, demand.scenario.status_service(), name);
            if policy == Policy::RankedRegion {
                let cross_region = demand.scenario.region_round_trip();
                subset.candidates.retain(|candidate| candidate.round_trip < cross_region);
            }
            let mut pool = Pool::new();
            pool.update(&subset, Millis(START_MS));
            let number = |member: &Member| {
                snapshot.upstreams.iter().position(|upstream| upstream.name == member.name)
            };
            Vm {
                upstreams: pool.members().iter().filter_map(number).collect(),
                pool,
                choice: policy.choice(),
                classes: Classes::new(Class::Short),
                delay: Delay::new(),
                budget: Budget::new(snapshot.preset.hedge_budget),
                queued: VecDeque::new(),
            }
        };
        Simulation {
            demand,
            policy,
            end_us: WARM_UP_US + demand.seconds * 1_000_000,
            now_us: 0,
            queue: Queue::new(),
            arrivals_rng,
            policy_rng: StdRng::seed_from_u64(seed ^ u64::MAX),
            outstanding: vec![0; snapshot.upstreams.len()],
            slow_upstreams,
            vms: snapshot.vms.iter().map(|entry_vm| vm(&entry_vm.name)).collect(),
            upstreams: snapshot
                .upstreams
                .iter()
                .map(|_| Upstream::new(demand.scenario.slots()))
                .collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            result: Results {
                short: Histogram::new(HISTOGRAM_DIGITS).expect("the digits are in range"),
                long_completed: 0,
                first_attempts: 0,
                hedges: 0,
            },
        }
    }

    fn schedule_first_events(&mut self) {
        for vm in 0..self.vms.len() {
            self.schedule_arrival(vm);
        }
        self.queue.add(REPORT_PERIOD_US, Event::Sample);
        self.queue.add(WARM_UP_US, Event::Slow);
    }

    /// The virtual time as the steering code sees it.
    fn clock(&self) -> Millis {
        Millis(START_MS + self.now_us / 1000)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { vm } => self.arrive(vm),
            Event::Reach { attempt } => self.reach(attempt),
            Event::Done { attempt } => self.done(attempt),
            Event::Respond { attempt } => self.respond(attempt),
            Event::Cancel { attempt } => self.remove_from_upstream(attempt),
            Event::Hedge { request } => self.hedge(request),
            Event::Sample => self.sample(),
            Event::Report { upstream, running, queued } => self.report(upstream, running, queued),
            Event::Slow => self.slow(),
        }
    }

    fn schedule_arrival(&mut self, vm: usize) {
        let gap = exponential(&mut self.arrivals_rng, 1e6 / self.demand.rate);
        self.queue.add(self.now_us + gap, Event::Arrive { vm });
    }

    fn arrive(&mut self, vm: usize) {
        self.schedule_arrival(vm);
        let share = self.demand.long.map_or(0.0, |long| long.share);
        let long = self.arrivals_rng.random_bool(share);
        let factor = self.demand.long.filter(|_| long).map_or(1, |long| long.factor);
        let half = MEAN_SHORT_US / 2;
        let work_us = factor * (half + exponential(&mut self.arrivals_rng, half as f64));
        if self.demand.only_long && !long {
            return;
        }
        let path = if long { LONG_PATH } else { SHORT_PATH };
        let class = match self.policy.is_ranked() {
            true => self.vms[vm].classes.class(path),
            false => Class::Short,
        };
        let (tried, attempts) = (Vec::new(), Vec::new());
        self.requests.push(Request {
            vm,
            arrived_us: self.now_us,
            work_us,
            long,
            class,
            tried,
            attempts,
            answered: false,
        });
        self.dispatch(self.requests.len() - 1);
    }

    /// Sends a request's first attempt, or queues the request if no upstream can take it now.
    fn dispatch(&mut self, request: usize) {
        let vm = self.requests[request].vm;
        match self.send(request) {
            Ok(reason) => {
                self.result.first_attempts += 1;
                self.vms[vm].budget.earn();
                self.schedule_hedge(request, reason);
            }
            Err(_) => self.vms[vm].queued.push_back(request),
        }
    }

    fn schedule_hedge(&mut self, request: usize, reason: Reason) {
        if !self.policy.has_hedges() {
            return;
        }
        let vm = &self.vms[self.requests[request].vm];
        let Some(delay) = vm.delay.get(self.requests[request].class, true) else { return };
        let delay = if reason == Reason::Probe { Millis::ZERO } else { delay };
        self.queue.add(self.now_us + delay.0 * 1000, Event::Hedge { request });
    }

    fn send(&mut self, request: usize) -> Result<Reason, Unavailable> {
        let now = self.clock();
        let state = &mut self.requests[request];
        let vm = &mut self.vms[state.vm];
        let idempotent = self.policy.is_ranked();
        let task = Task { class: state.class, idempotent, tried: state.tried.clone() };
        let mut pick = vm.choice.choose(&mut vm.pool, &task, now, &mut self.policy_rng)?;
        if self.policy == Policy::Omniscient {
            pick.index = best_upstream(&self.upstreams, &self.outstanding, &vm.pool);
        }
        let upstream = vm.upstreams[pick.index];
        self.outstanding[upstream] += 1;
        let probe = pick.reason == Reason::Probe;
        let ticket = vm.pool.start(pick.index, state.class, probe, now);
        let attempt = self.attempts.len();
        state.tried.push(pick.index);
        state.attempts.push(attempt);
        let one_way_us = vm.pool.members()[pick.index].round_trip.0 * 500;
        self.attempts.push(Attempt {
            request,
            upstream,
            ticket,
            ended: false,
            left_upstream: false,
        });
        self.queue.add(self.now_us + one_way_us, Event::Reach { attempt });
        Ok(pick.reason)
    }

    fn hedge(&mut self, request: usize) {
        let state = &self.requests[request];
        let vm = state.vm;
        if state.answered || !self.vms[vm].budget.spend() {
            return;
        }
        if self.send(request).is_ok() {
            self.result.hedges += 1;
        }
    }

    fn reach(&mut self, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        if self.upstreams[self.attempts[attempt].upstream].add(attempt) {
            self.run(attempt);
        }
    }

    fn run(&mut self, attempt: usize) {
        let Attempt { request, upstream, .. } = self.attempts[attempt];
        let work_us = self.requests[request].work_us * self.upstreams[upstream].slowdown;
        self.queue.add(self.now_us + work_us, Event::Done { attempt });
    }

    fn done(&mut self, attempt: usize) {
        if !self.upstreams[self.attempts[attempt].upstream].is_running(attempt) {
            return;
        }
        self.remove_from_upstream(attempt);
        let one_way_us = self.one_way_us(attempt);
        self.queue.add(self.now_us + one_way_us, Event::Respond { attempt });
    }

    fn remove_from_upstream(&mut self, attempt: usize) {
        if std::mem::replace(&mut self.attempts[attempt].left_upstream, true) {
            return;
        }
        let upstream = self.attempts[attempt].upstream;
        self.outstanding[upstream] -= 1;
        if let Some(next) = self.upstreams[upstream].remove(attempt) {
            self.run(next);
        }
    }

    fn one_way_us(&self, attempt: usize) -> u64 {
        let Attempt { request, ticket, .. } = self.attempts[attempt];
        let vm = self.requests[request].vm;
        self.vms[vm].pool.members()[ticket.index].round_trip.0 * 500
    }

    fn respond(&mut self, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        let request = self.attempts[attempt].request;
        self.finish_attempt(attempt, Outcome::Answered);
        self.requests[request].answered = true;
        for other in self.requests[request].attempts.clone() {
            if !self.attempts[other].ended {
                self.finish_attempt(other, Outcome::Cancelled);
                let one_way_us = self.one_way_us(other);
                self.queue.add(self.now_us + one_way_us, Event::Cancel { attempt: other });
            }
        }
        self.record(request, attempt);
        self.resume(self.requests[request].vm);
    }

    fn finish_attempt(&mut self, attempt: usize, outcome: Outcome) {
        let now = self.clock();
        let vm = self.requests[self.attempts[attempt].request].vm;
        self.attempts[attempt].ended = true;
        self.vms[vm].pool.finish(self.attempts[attempt].ticket, outcome, now);
    }

    fn record(&mut self, request: usize, attempt: usize) {
        let now = self.clock();
        let state = &self.requests[request];
        let latency_us = self.now_us - state.arrived_us;
        let vm = &mut self.vms[state.vm];
        let path = if state.long { LONG_PATH } else { SHORT_PATH };
        vm.classes.observe(path, now - self.attempts[attempt].ticket.at);
        if state.class == Class::Short {
            vm.delay.observe(Millis(latency_us / 1000));
        }
        if self.now_us < WARM_UP_US {
            return;
        }
        if state.long {
            self.result.long_completed += 1;
        } else if state.arrived_us >= WARM_UP_US {
            self.result.short.record(latency_us.max(1)).expect("the histogram grows");
        }
    }

    /// Sends the requests queued at an entry VM until no upstream can take the next one.
    fn resume(&mut self, vm: usize) {
        for _ in 0..self.vms[vm].queued.len() {
            let Some(request) = self.vms[vm].queued.pop_front() else { return };
            if let Err(_unavailable) = self.send(request) {
                self.vms[vm].queued.push_front(request);
                return;
            }
            self.result.first_attempts += 1;
            self.vms[vm].budget.earn();
        }
    }

    fn sample(&mut self) {
        self.queue.add(self.now_us + REPORT_PERIOD_US, Event::Sample);
        for upstream in 0..self.upstreams.len() {
            let (running, queued) = self.upstreams[upstream].load();
            let at = self.now_us + self.demand.report_delay.0 * 1000;
            self.queue.add(at, Event::Report { upstream, running, queued });
        }
    }

    fn report(&mut self, upstream: usize, running: u32, queued: u32) {
        let at = self.clock();
        for vm in &mut self.vms {
            if let Some(index) = vm.upstreams.iter().position(|&number| number == upstream) {
                vm.pool.report(index, Report { at, running, waiting: queued });
            }
        }
    }

    fn slow(&mut self) {
        let factor = self.demand.slowdown.map_or(1, |slowdown| slowdown.factor);
        for &upstream in &self.slow_upstreams {
            self.upstreams[upstream].slowdown = factor;
        }
    }
}

/// The upstream that is expected to respond first, given its slowdown, its slots and all attempts
/// outstanding there. Only the work of the requests is unknown; the mean is assumed.
fn best_upstream(upstreams: &[Upstream], outstanding: &[u64], pool: &Pool) -> usize {
    let expected = |upstream: &usize| {
        let round_trip_us = pool.members()[*upstream].round_trip.0 * 1000;
        let slots = upstreams[*upstream].slots() as u64;
        let ahead = (outstanding[*upstream] + 1).saturating_sub(slots);
        let service_us = MEAN_SHORT_US * upstreams[*upstream].slowdown;
        round_trip_us + service_us + service_us * ahead / slots
    };
    (0..upstreams.len()).min_by_key(expected).unwrap_or(0)
}

/// Draws the upstreams that become slow.
fn draw_slow_upstreams(demand: &Demand, upstreams: usize, rng: &mut StdRng) -> Vec<usize> {
    let count = demand.slowdown.map_or(0, |slowdown| slowdown.upstreams);
    let mut slow_upstreams = Vec::new();
    while slow_upstreams.len() < count.min(upstreams) {
        let upstream = rng.random_range(0..upstreams);
        if !slow_upstreams.contains(&upstream) {
            slow_upstreams.push(upstream);
        }
    }
    slow_upstreams
}

/// Draws from an exponential distribution.
fn exponential(rng: &mut StdRng, mean: f64) -> u64 {
    let uniform: f64 = rng.random();
    (-mean * (1.0 - uniform).ln()) as u64
}
