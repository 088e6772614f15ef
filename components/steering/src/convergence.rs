//! Whether a VM that has started knows the VMs of the deployment.
//!
//! Until then its view is what it happens to have heard, so it must not answer look-ups from it.
//! See docs/DATAPATH.md, "Membership".

use clock::Millis;

/// How long a VM waits for a peer that was there before. If all VMs have started at the same time
/// there is none, and within two rounds of heartbeats they have heard of each other.
const LONE_SPAN: Millis = Millis(1_000);
/// Time after which a VM goes by what it knows in any case: what the peers told it includes VMs
/// that have died since.
const MAX_SPAN: Millis = Millis(3_000);
/// The part of the live VMs that a peer knows from which a view counts as whole; datagrams may be
/// lost.
const WHOLE_FRACTION: f64 = 0.9;
/// Time between two questions for all VMs that a peer knows, until the view has converged.
const ASK_INTERVAL: Millis = Millis(250);
/// The same for a view that has converged. After the death of many VMs, those that notice it first
/// know fewer than the others for a while, and the answers to them have nothing new.
const CONVERGED_ASK_INTERVAL: Millis = Millis(3_000);

/// A VM's view of the deployment's VMs, compared with those of its peers.
#[derive(Debug)]
pub struct Convergence {
    started: Millis,
    converged: bool,
    /// The most live VMs that a converged peer has known since the start.
    told: usize,
    asked: Option<Millis>,
}

impl Convergence {
    /// The view of a VM that started at `started`.
    pub fn new(started: Millis) -> Convergence {
        Convergence { started, converged: false, told: 0, asked: None }
    }

    /// Whether the view of a VM that knows `live` VMs, including itself, has converged. It stays
    /// so: later changes reach the VM like any other.
    pub fn judge(&mut self, live: usize, now: Millis) -> bool {
        let up = now - self.started;
        self.converged |= match self.told {
            0 => up >= LONE_SPAN,
            told => is_whole(live, told) || up >= MAX_SPAN,
        };
        self.converged
    }

    /// Whether the view had converged when it was last judged.
    pub fn has_converged(&self) -> bool {
        self.converged
    }

    /// The most live VMs that a converged peer has known.
    pub fn told(&self) -> usize {
        self.told
    }

    /// Records that a converged peer knows `peers` live VMs while this one knows `live`; returns
    /// whether to ask that peer for all of them.
    pub fn record_peer(&mut self, peers: usize, live: usize, now: Millis) -> bool {
        self.told = self.told.max(peers);
        let interval = if self.converged { CONVERGED_ASK_INTERVAL } else { ASK_INTERVAL };
        let is_due = self.asked.is_none_or(|asked| now >= asked + interval);
        let asks = is_due && !is_whole(live, peers);
        if asks {
            self.asked = Some(now);
        }
        asks
    }
}

/// Whether `live` VMs are about as many as the `told` ones that a peer knows.
fn is_whole(live: usize, told: usize) -> bool {
    live as f64 >= told as f64 * WHOLE_FRACTION
}
