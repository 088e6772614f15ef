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

/// The state of all services on this VM.
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

    /// Applies a snapshot and keeps the observations.
    pub(crate) fn update(&mut self, view: &View, now: Millis) {
        let snapshot = view.snapshot();
        let listed = |name: &str| snapshot.upstreams.iter().any(|upstream| &*upstream.name == name);
        self.leaving.retain(listed);
        self.drained = drained(view, now);
        for service in &snapshot.deployment.services {
            let fresh = || Service::new(service.class);
            let state = self.by_name.entry(Arc::clone(&service.name)).or_insert_with(fresh);
            state.update(view, service, &self.vm, now);
            state.apply_leaving(&self.leaving);
        }
    }

    /// Stops new work to upstreams whose planned drain has started, and resumes it when the drain
    /// has ended.
    pub(crate) fn apply_drains(&mut self, view: &View, now: Millis) {
        if drained(view, now) != self.drained {
            self.update(view, now);
        }
    }

    /// The service called `name`, with the random number generator.
    pub(crate) fn get(&mut self, name: &str) -> Option<(&mut Service, &mut StdRng)> {
        let service = self.by_name.get_mut(name)?;
        Some((service, &mut self.rng))
    }

    /// Records that an upstream announced that it is leaving.
    pub(crate) fn mark_leaving(&mut self, upstream: &Arc<str>, source: Source, now: Millis) {
        self.leaving.mark(upstream, source, now);
        for service in self.by_name.values_mut() {
            service.apply_leaving(&self.leaving);
        }
    }

    /// Records a load report; true if it revokes an announcement that the upstream is leaving.
    pub(crate) fn record_load(&mut self, upstream: &Arc<str>, load: Load, now: Millis) -> bool {
        if load.leaving {
            self.mark_leaving(upstream, Source::LoadReport, now);
            return false;
        }
        let report = Report { at: now, running: load.running, waiting: load.waiting };
        for service in self.by_name.values_mut() {
            service.record_load(upstream, report);
        }
        self.leaving.clear(upstream, now)
    }

    /// The names and addresses of all upstreams that this VM uses.
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
    let drained = upstreams.filter(|each| view.index.is_drained(&each.name, &each.domain, now));
    drained.map(|upstream| Arc::clone(&upstream.name)).collect()
}
