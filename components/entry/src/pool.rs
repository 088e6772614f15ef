use crate::job::Job;
use clock::Millis;
use errors::{Error, Kind};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::State;

/// How long an upstream's own word that it leaves outweighs a report that it doesn't.
const LEAVING_HOLD: Millis = Millis::from_secs(10);

/// The upstream that an attempt goes to, and why.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    pub(crate) upstream: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) region: Option<usize>,
    pub(crate) reason: &'static str,
}

/// What this VM has seen of upstreams.
#[derive(Default)]
pub(crate) struct Pool {
    in_flight: BTreeMap<Arc<str>, u32>,
    leaving: BTreeMap<Arc<str>, Millis>,
}

impl Pool {
    /// Chooses an upstream for `job` that isn't in `tried`.
    pub(crate) fn choose(
        &mut self,
        job: &Job,
        own_region: Option<usize>,
        tried: &[Arc<str>],
        rng: &mut StdRng,
    ) -> Result<Choice, Error> {
        let upstreams = &job.view.snapshot.upstreams;
        let fit: Vec<Choice> = upstreams
            .iter()
            .filter(|upstream| upstream.service == job.request.service)
            .filter(|upstream| upstream.state == State::Live)
            .filter(|upstream| !self.leaving.contains_key(&upstream.name))
            .filter(|upstream| !tried.contains(&upstream.name))
            .map(|upstream| Choice {
                upstream: Arc::clone(&upstream.name),
                address: upstream.address,
                region: job.view.region(&upstream.domain),
                reason: "other_region",
            })
            .collect();
        let near: Vec<&Choice> = fit.iter().filter(|choice| choice.region == own_region).collect();
        let (candidates, reason) = match near.is_empty() {
            true => (fit.iter().collect(), "other_region"),
            false => (near, "own_region"),
        };
        let choice = self.less_loaded(&candidates, rng).ok_or_else(no_upstream)?;
        Ok(Choice { reason, ..choice })
    }

    fn less_loaded(&self, candidates: &[&Choice], rng: &mut StdRng) -> Option<Choice> {
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[rng.random_range(0..candidates.len())];
        let second = candidates[rng.random_range(0..candidates.len())];
        let load = |choice: &Choice| self.in_flight.get(&choice.upstream).copied().unwrap_or(0);
        let best = if load(second) < load(first) { second } else { first };
        Some(best.clone())
    }

    pub(crate) fn begin(&mut self, upstream: &Arc<str>) {
        *self.in_flight.entry(Arc::clone(upstream)).or_default() += 1;
    }

    pub(crate) fn end(&mut self, upstream: &Arc<str>) {
        if let Some(count) = self.in_flight.get_mut(upstream) {
            *count = count.saturating_sub(1);
        }
    }

    /// Notes that an upstream said that it leaves.
    pub(crate) fn mark_leaving(&mut self, upstream: &Arc<str>, now: Millis) {
        self.leaving.insert(Arc::clone(upstream), now);
    }

    /// Notes a report that the upstream stays; it counts only well after it said that it leaves.
    pub(crate) fn mark_staying(&mut self, upstream: &Arc<str>, now: Millis) {
        if let Some(since) = self.leaving.get(upstream)
            && now - *since >= LEAVING_HOLD
        {
            self.leaving.remove(upstream);
        }
    }

    /// Upstreams that said that they leave.
    pub(crate) fn leaving(&self) -> Vec<Arc<str>> {
        self.leaving.keys().cloned().collect()
    }
}

fn no_upstream() -> Error {
    Error::new(Kind::NoUpstream, "no upstream of the service takes new work")
}
