use crate::service::{Leaving, Service, Source};
use crate::view::View;
use clock::Millis;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::choice::Report;
use upstream::load::Load;

/// All services as this VM sees them.
pub(crate) struct Services {
    vm: Arc<str>,
    by_name: BTreeMap<Arc<str>, Service>,
    pub(crate) leaving: Leaving,
    drained: Vec<Arc<str>>,
    pub(crate) rng: StdRng,
}

impl Services {
    pub(crate) fn new(vm: Arc<str>, seed: u64) -> Services {
        let rng = StdRng::seed_from_u64(seed);
        Services {
            vm,
            by_name: BTreeMap::new(),
            leaving: Leaving::default(),
            drained: Vec::new(),
            rng,
        }
    }

    /// Takes over a snapshot, keeping what was observed.
    pub(crate) fn update(&mut self, view: &View, now: Millis) {
        let snapshot = view.snapshot();
        let listed = |name: &str| snapshot.upstreams.iter().any(|upstream| &*upstream.name == name);
        self.leaving.retain(listed);
        self.drained = drained(view, now);
        for service in &snapshot.deployment.services {
            let fresh = || Service::new(service.class);
            let state = self.by_name.entry(Arc::clone(&service.name)).or_insert_with(fresh);
            state.update(view, service, &self.vm, now);
            state.apply(&self.leaving);
        }
    }

    /// Stops new work to upstreams whose planned drain has started, and lets those whose drain has
    /// ended back in.
    pub(crate) fn follow_drains(&mut self, view: &View, now: Millis) {
        if drained(view, now) != self.drained {
            self.update(view, now);
        }
    }

    /// The service called `name`, with the source of random choices.
    pub(crate) fn get(&mut self, name: &str) -> Option<(&mut Service, &mut StdRng)> {
        let service = self.by_name.get_mut(name)?;
        Some((service, &mut self.rng))
    }

    /// Notes that an upstream said that it leaves.
    pub(crate) fn mark_leaving(&mut self, upstream: &Arc<str>, source: Source, now: Millis) {
        self.leaving.mark(upstream, source, now);
        for service in self.by_name.values_mut() {
            service.apply(&self.leaving);
        }
    }

    /// Notes a load report; true if the upstream takes work again after it had said that it leaves.
    pub(crate) fn note_load(&mut self, upstream: &Arc<str>, load: Load, now: Millis) -> bool {
        if load.leaving {
            self.mark_leaving(upstream, Source::Report, now);
            return false;
        }
        let report = Report { at: now, running: load.running, waiting: load.waiting };
        for service in self.by_name.values_mut() {
            service.report(upstream, report);
        }
        self.leaving.clear(upstream, now)
    }

    /// Every upstream that this VM uses, with its address.
    pub(crate) fn addresses(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let all = self.by_name.values().flat_map(Service::addresses);
        all.map(|(name, address)| (Arc::clone(name), *address)).collect()
    }
}

fn drained(view: &View, now: Millis) -> Vec<Arc<str>> {
    let snapshot = view.snapshot();
    if snapshot.drains.is_empty() {
        return Vec::new();
    }
    let upstreams = snapshot.upstreams.iter();
    let held = upstreams.filter(|each| view.index.is_drained(&each.name, &each.domain, now));
    held.map(|upstream| Arc::clone(&upstream.name)).collect()
}
