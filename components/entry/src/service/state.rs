use crate::service::Leaving;
use crate::view::View;
use clock::Millis;
use rand::rngs::StdRng;
use settings::Class;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::choice::{
    Choice, Outcome, Pick, Pool, Ranked, Report, Subset, Task, Ticket, Unavailable,
};
use steering::class::Classes;
use steering::hedge::{Budget, Delay};
use steering::retry;

/// The state of one service on this VM.
pub(crate) struct Service {
    pools: BTreeMap<u16, Pool>,
    addresses: BTreeMap<Arc<str>, SocketAddr>,
    policy: Ranked,
    classes: Classes,
    hedge_delay: Delay,
    /// Limits hedges and retries.
    budget: Budget,
}

/// The result of one attempt.
pub(crate) struct AttemptResult<'a> {
    pub(crate) region: u16,
    pub(crate) ticket: Ticket,
    pub(crate) outcome: Outcome,
    pub(crate) path: &'a str,
    pub(crate) duration: Millis,
}

impl Service {
    pub(crate) fn new(class: Class) -> Service {
        Service {
            pools: BTreeMap::new(),
            addresses: BTreeMap::new(),
            policy: Ranked,
            classes: Classes::new(class),
            hedge_delay: Delay::new(),
            budget: Budget::new(0.0),
        }
    }

    /// Applies a snapshot and keeps the observations.
    pub(crate) fn update(
        &mut self,
        view: &View,
        service: &settings::Service,
        vm: &str,
        now: Millis,
    ) {
        self.classes.set_configured(service.class);
        self.budget.set_ratio(view.snapshot().preset.hedge_budget);
        let mut subset = Subset::new(view.snapshot(), &service.name, vm);
        for candidate in &mut subset.candidates {
            if view.index.is_drained(&candidate.upstream.name, &candidate.upstream.domain, now) {
                candidate.upstream.state = steering::State::Leaving;
            }
        }
        let address =
            |c: &steering::choice::Candidate| (Arc::clone(&c.upstream.name), c.upstream.address);
        let used = subset.candidates.iter().filter(|c| c.connections > 0);
        self.addresses = used.map(address).collect();
        for region in 0..view.index.regions().len() as u16 {
            let mut part = subset.clone();
            part.candidates.retain(|c| view.region_of(&c.upstream.domain) == Some(region));
            self.pools.entry(region).or_default().update(&part, now);
        }
    }

    /// Stops new work to upstreams that announced that they are leaving, even if the snapshot lists
    /// them as live.
    pub(crate) fn apply_leaving(&mut self, leaving: &Leaving) {
        for pool in self.pools.values_mut() {
            for index in 0..pool.members().len() {
                if leaving.contains(&pool.members()[index].name) {
                    pool.mark_leaving(index);
                }
            }
        }
    }

    pub(crate) fn class(&self, path: &str) -> Class {
        self.classes.class(path)
    }

    /// Chooses an upstream in `region` that is not in `tried`.
    pub(crate) fn choose(
        &mut self,
        region: u16,
        class: Class,
        idempotent: bool,
        tried: &[Arc<str>],
        now: Millis,
        rng: &mut StdRng,
    ) -> Result<Pick, Unavailable> {
        let pool = self.pools.get_mut(&region).ok_or(Unavailable::Empty)?;
        let tried = tried.iter().filter_map(|name| pool.index(name)).collect();
        let task = Task { class, idempotent, tried };
        self.policy.choose(pool, &task, now, rng)
    }

    /// Counts an attempt at the picked upstream.
    pub(crate) fn start(&mut self, region: u16, pick: &Pick, class: Class, now: Millis) -> Ticket {
        let probe = pick.reason == steering::choice::Reason::Probe;
        self.pools.entry(region).or_default().start(pick.index, class, probe, now)
    }

    /// Records the result of an attempt.
    pub(crate) fn finish(&mut self, result: &AttemptResult<'_>, now: Millis) {
        if let Some(pool) = self.pools.get_mut(&result.region) {
            pool.finish(result.ticket, result.outcome, now);
        }
        if result.outcome == Outcome::Answered {
            self.classes.observe(result.path, result.duration);
        }
    }

    pub(crate) fn address(&self, upstream: &str) -> Option<SocketAddr> {
        self.addresses.get(upstream).copied()
    }

    /// The names and addresses of the upstreams that this VM uses.
    pub(crate) fn addresses(&self) -> &BTreeMap<Arc<str>, SocketAddr> {
        &self.addresses
    }

    /// Records a load report.
    pub(crate) fn record_load(&mut self, upstream: &str, report: Report) {
        for pool in self.pools.values_mut() {
            if let Some(index) = pool.index(upstream) {
                pool.report(index, report);
            }
        }
    }

    /// How long to wait for a response before a hedge is sent; `None` if none may be sent.
    pub(crate) fn hedge_delay(&self, class: Class, idempotent: bool) -> Option<Millis> {
        self.hedge_delay.get(class, idempotent)
    }

    /// Records the latency of a response, from which the hedge delay follows.
    pub(crate) fn observe_latency(&mut self, latency: Millis) {
        self.hedge_delay.observe(latency);
    }

    pub(crate) fn earn_budget(&mut self) {
        self.budget.earn();
    }

    /// Takes a hedge from the budget; false if the budget is used up.
    pub(crate) fn spend_budget(&mut self) -> bool {
        self.budget.spend()
    }

    pub(crate) fn retry(&mut self, attempt: retry::Attempt, now: Millis) -> retry::Decision {
        retry::decide(attempt, &mut self.budget, now)
    }

    /// The median service time of the upstreams of `region`.
    pub(crate) fn typical_latency(&self, region: u16) -> Millis {
        Millis(self.pools.get(&region).map_or(0.0, Pool::median_service_time) as u64)
    }
}
