use crate::limit::Window;
use clock::Millis;
use std::sync::Arc;

/// The rate-limit windows of one region.
#[derive(Debug)]
pub(super) struct Windows {
    /// The region's name.
    pub(super) name: Arc<str>,
    /// All requests into the region.
    pub(super) requests: Window,
    /// Requests that a shift moves into the region.
    pub(super) shift: Window,
    /// Requests at positions that a shift has moved into the region.
    pub(super) moved: Ramp,
}

/// Limits the moved traffic to what the region's caches are warm for.
///
/// From one step to the next the limit grows by at most this VM's share of the shift cap,
/// whichever callers send the traffic.
#[derive(Debug)]
pub(super) struct Ramp {
    pub(super) window: Window,
    /// The most requests in a second since the shift began.
    pub(super) peak: u32,
}

impl Windows {
    /// Takes the region's windows out of `old`, or creates windows that admit nothing.
    pub(super) fn take_or_new(old: &mut Vec<Windows>, name: &Arc<str>) -> Windows {
        match old.iter().position(|windows| windows.name == *name) {
            Some(at) => old.swap_remove(at),
            None => {
                let moved = Ramp { window: Window::new(0), peak: 0 };
                let (requests, shift) = (Window::new(0), Window::new(0));
                Windows { name: Arc::clone(name), requests, shift, moved }
            }
        }
    }
}

impl Ramp {
    /// Records the peak and, when a step has passed or the shift restarted, sets the limit to the
    /// peak plus `share` requests a second.
    pub(super) fn advance(&mut self, share: u32, passed: bool, restarted: bool, now: Millis) {
        self.peak = if restarted { 0 } else { self.peak.max(self.window.used(now)) };
        if passed || restarted {
            self.window.set_cap(self.peak.saturating_add(share));
        }
    }
}
