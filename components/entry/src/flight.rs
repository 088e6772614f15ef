use crate::core::Core;
use crate::job::Job;
use crate::service::Observed;
use clock::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::choice::{Outcome, Reason, Ticket};

/// One attempt at one upstream, which counts there until it is dropped.
pub(crate) struct Flight {
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

/// The upstream that an attempt goes to.
pub(crate) struct Chosen {
    pub(crate) upstream: Arc<str>,
    pub(crate) address: SocketAddr,
    pub(crate) region: u16,
    pub(crate) reason: Reason,
    pub(crate) ticket: Ticket,
}

impl Flight {
    pub(crate) fn new(core: &Arc<Core>, job: &Job, chosen: Chosen) -> Flight {
        Flight {
            upstream: chosen.upstream,
            address: chosen.address,
            region: chosen.region,
            reason: chosen.reason,
            core: Arc::clone(core),
            service: Arc::clone(&job.request.service),
            path: Arc::clone(&job.request.path),
            ticket: chosen.ticket,
            outcome: Outcome::Cancelled,
        }
    }

    /// When the attempt began.
    pub(crate) fn since(&self) -> Millis {
        self.ticket.at
    }

    /// Ends the attempt; one that is dropped without this counts as cancelled.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        let observed = Observed {
            region: self.region,
            ticket: self.ticket,
            outcome: self.outcome,
            path: &self.path,
            held: now - self.ticket.at,
        };
        if let Some((service, _)) = self.core.services().get(&self.service) {
            service.finish(&observed, now);
        }
        self.core.freed.notify_waiters();
    }
}
