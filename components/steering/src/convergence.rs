//! Whether a VM that has started knows the VMs of the deployment.
//!
//! Until then its view is what it happens to have heard, so it must not answer look-ups from it.
//! See docs/DATAPATH.md, "Membership".

use clock::Millis;

/// How long a VM waits for a peer that was there before. If all VMs have started at the same time
/// there is none, and within two rounds of heartbeats they have heard of each other.
const LONE_SPAN: Millis = Millis(1_000);
/// Time after which a VM goes by what it knows in any case: what peers reported includes VMs
/// that have died since.
const MAX_SPAN: Millis = Millis(3_000);
/// The part of the live VMs that a peer knows from which a view counts as whole; datagrams may be
/// lost.
const WHOLE_FRACTION: f64 = 0.9;
/// Time between two requests for all VMs that a peer knows, until the view has converged.
const REQUEST_INTERVAL: Millis = Millis(250);
/// The same for a view that has converged. After the death of many VMs, those that notice it first
/// know fewer than the others for a while, and the answers to them have nothing new.
const CONVERGED_REQUEST_INTERVAL: Millis = Millis(3_000);

/// A VM's view of the deployment's VMs, compared with those of its peers.
#[derive(Debug)]
pub struct Convergence {
    started: Millis,
    converged: bool,
    /// The most live VMs that a converged peer has known since the start.
    reported: usize,
    requested: Option<Millis>,
}

impl Convergence {
    /// The view of a VM that started at `started`.
    pub fn new(started: Millis) -> Convergence {
        Convergence { started, converged: false, reported: 0, requested: None }
    }

    /// Whether the view of a VM that knows `live` VMs, including itself, has converged. It stays
    /// so: later changes reach the VM like any other.
    pub fn judge(&mut self, live: usize, now: Millis) -> bool {
        let up = now - self.started;
        self.converged |= match self.reported {
            0 => up >= LONE_SPAN,
            reported => is_whole(live, reported) || up >= MAX_SPAN,
        };
        self.converged
    }

    /// Whether the view had converged when it was last judged.
    pub fn has_converged(&self) -> bool {
        self.converged
    }

    /// Whether peers may compare their views with this one at `now`. A view that has converged
    /// without a peer may lack most VMs for some time.
    pub fn is_reference(&self, now: Millis) -> bool {
        self.converged && (self.reported > 0 || now - self.started >= MAX_SPAN)
    }

    /// The most live VMs that a converged peer has known.
    pub fn reported(&self) -> usize {
        self.reported
    }

    /// Records that a converged peer knows `peers` live VMs while this one knows `live`; returns
    /// whether to request all of them from that peer.
    pub fn record_peer(&mut self, peers: usize, live: usize, now: Millis) -> bool {
        self.reported = self.reported.max(peers);
        let interval = if self.converged { CONVERGED_REQUEST_INTERVAL } else { REQUEST_INTERVAL };
        let is_due = self.requested.is_none_or(|requested| now >= requested + interval);
        let requests = is_due && !is_whole(live, peers);
        if requests {
            self.requested = Some(now);
        }
        requests
    }
}

/// Whether `live` VMs are about as many as the `reported` ones that a peer knows.
fn is_whole(live: usize, reported: usize) -> bool {
    live as f64 >= reported as f64 * WHOLE_FRACTION
}
