//! What an attempt shows of its upstream and its route.

use crate::core::Core;
use crate::endpoint::Endpoint;
use crate::outcome::{Cause, Outcome};
use crate::reporting;
use clock::Millis;
use std::rc::Rc;
use std::sync::Arc;
use steering::shedding::{MIN_FAILURES, Rate};

/// An attempt that has ended.
pub struct Observation<'a> {
    /// The route.
    pub route: &'a Arc<str>,
    /// The upstream.
    pub endpoint: &'a Rc<Endpoint>,
    /// How the attempt ended.
    pub outcome: &'a Outcome,
}

/// Duration of an attempt that was not queued at the upstream.
pub struct Sample {
    /// The duration.
    pub took: Millis,
    /// Whether the upstream is in the object's assigned region.
    pub assigned: bool,
}

impl Observation<'_> {
    /// Updates what is known of the upstream, of `service` and of the route. Returns how often
    /// upstreams of the service shed requests if this one did though it had a free slot.
    pub fn record(&self, core: &Core, service: &Arc<str>, sample: Option<Sample>) -> Option<Rate> {
        let now = core.clock.now();
        let endpoint = self.endpoint;
        let shed = self.record_shedding(core, service, now);
        let has_failed = match self.outcome {
            Outcome::Response(reply) if reply.status < 500 => {
                endpoint.record_success();
                if let Some(Sample { took, assigned }) = sample {
                    let mut upstreams = core.upstreams.borrow_mut();
                    let latency = upstreams
                        .network_latency(&core.settings().region, endpoint.region.as_deref());
                    upstreams.record_service_time(self.route, took - latency, assigned);
                }
                false
            }
            Outcome::Failed(Cause::Misdirected | Cause::Replaced) => {
                endpoint.mark_replaced();
                false
            }
            Outcome::Failed(Cause::Shed) => shed.is_some(),
            Outcome::Failed(Cause::Silent) => {
                // On its other connections, requests would wait as long.
                endpoint.pool.borrow_mut().clear();
                true
            }
            // A full upstream rejects health checks like requests, and a caller may have no time
            // for one.
            Outcome::Failed(
                Cause::Deadline
                | Cause::CallerLeft
                | Cause::UpstreamLeft
                | Cause::OutsideRegions
                | Cause::KeyWithdrawn
                | Cause::Unidentified,
            ) => false,
            Outcome::Response(_) | Outcome::Failed(_) | Outcome::TimedOut => true,
        };
        let threshold = shed.map_or(MIN_FAILURES, |rate| rate.ejection_failures(now));
        if has_failed && endpoint.record_failure(threshold, now) {
            let upstream = endpoint.entry.id.as_ref();
            log::info!(
                target: "belief", upstream = upstream;
                "upstream ejected after consecutive failures"
            );
        }
        shed
    }

    /// Records whether the upstream shed the request though it had a free slot; returns how often that
    /// happens if it did.
    fn record_shedding(&self, core: &Core, service: &Arc<str>, now: Millis) -> Option<Rate> {
        let is_shed = matches!(self.outcome, Outcome::Failed(Cause::Shed));
        if !is_shed && !matches!(self.outcome, Outcome::Response(_)) {
            return None;
        }
        let has_room = self.endpoint.load(now) < f64::from(self.endpoint.slots());
        let mut upstreams = core.upstreams.borrow_mut();
        let rate = upstreams.shedding(service);
        let was_common = rate.is_common(now);
        rate.record(is_shed && has_room, now);
        if rate.is_common(now) != was_common {
            reporting::shedding_changed(service, rate, now);
        }
        reporting::shedding_recorded(service, rate, now);
        (is_shed && has_room).then_some(*rate)
    }
}
