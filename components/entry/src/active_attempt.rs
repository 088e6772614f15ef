use crate::core::Core;
use crate::job::Job;
use crate::service::AttemptResult;
use clock::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::choice::{Outcome, Reason, Ticket};

/// An attempt in flight; the upstream counts it until it is dropped.
pub(crate) struct ActiveAttempt {
    pub(crate) upstream: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) region: u16,
    pub(crate) reason: Reason,
    core: Arc<Core>,
    service: Arc<str>,
    path: Arc<str>,
    ticket: Ticket,
    outcome: Outcome,
}

/// The upstream that an attempt is sent to.
pub(crate) struct Target {
    pub(crate) upstream: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) region: u16,
    pub(crate) reason: Reason,
    pub(crate) ticket: Ticket,
}

impl ActiveAttempt {
    pub(crate) fn new(core: &Arc<Core>, job: &Job, target: Target) -> ActiveAttempt {
        ActiveAttempt {
            upstream: target.upstream,
            address: target.address,
            region: target.region,
            reason: target.reason,
            core: Arc::clone(core),
            service: Arc::clone(&job.request.service),
            path: Arc::clone(&job.request.path),
            ticket: target.ticket,
            outcome: Outcome::Cancelled,
        }
    }

    /// The time at which the attempt started.
    pub(crate) fn started_at(&self) -> Millis {
        self.ticket.at
    }

    /// Ends the attempt with `outcome`. Without this call it counts as cancelled.
    pub(crate) fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for ActiveAttempt {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        let result = AttemptResult {
            region: self.region,
            ticket: self.ticket,
            outcome: self.outcome,
            path: &self.path,
            duration: now - self.ticket.at,
        };
        if let Some((service, _)) = self.core.services().get(&self.service) {
            service.finish(&result, now);
        }
        self.core.slot_freed.notify_waiters();
    }
}
