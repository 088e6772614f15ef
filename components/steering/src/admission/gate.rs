use crate::limit::Window;
use clock::Millis;
use std::sync::Arc;

/// The windows of one region.
#[derive(Debug)]
pub(super) struct Gate {
    pub(super) name: Arc<str>,
    pub(super) requests: Window,
    pub(super) shift: Window,
    pub(super) moved: Growth,
}

/// How much traffic that a shift moved there the region's caches are warm for.
///
/// It grows by at most the node's part of the shift cap from one step to the next, whichever
/// callers bring the traffic.
#[derive(Debug)]
pub(super) struct Growth {
    pub(super) window: Window,
    pub(super) peak: u32,
}

impl Gate {
    pub(super) fn take(old: &mut Vec<Gate>, name: &Arc<str>) -> Gate {
        match old.iter().position(|gate| gate.name == *name) {
            Some(at) => old.swap_remove(at),
            None => {
                let moved = Growth { window: Window::new(0), peak: 0 };
                let (requests, shift) = (Window::new(0), Window::new(0));
                Gate { name: Arc::clone(name), requests, shift, moved }
            }
        }
    }
}

impl Growth {
    pub(super) fn advance(&mut self, share: u32, passed: bool, restarted: bool, now: Millis) {
        self.peak = if restarted { 0 } else { self.peak.max(self.window.used(now)) };
        if passed || restarted {
            self.window.set_cap(self.peak.saturating_add(share));
        }
    }
}
