use clock::Millis;

const SECOND: Millis = Millis::from_secs(1);

/// What happened to the slab since the step began.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) start: Millis,
    pub(super) second: Millis,
    pub(super) attempts: Vec<u32>,
    pub(super) peak: f64,
    pub(super) deferred: bool,
}

/// The node's requests, counted by second.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    pub(super) second: Millis,
    current: u32,
    last: u32,
}

impl Step {
    pub(super) fn new(start: Millis, regions: usize) -> Step {
        let attempts = vec![0; regions];
        Step { start, second: start, attempts, peak: 0.0, deferred: false }
    }

    pub(super) fn count(&mut self, to: u16, limits: &[u32], now: Millis) {
        if now - self.second >= SECOND {
            self.second = now;
            self.attempts.fill(0);
        }
        let Some(attempts) = self.attempts.get_mut(usize::from(to)) else {
            return;
        };
        *attempts += 1;
        let limit = limits.get(usize::from(to)).copied().unwrap_or(0).max(1);
        self.peak = self.peak.max(f64::from(*attempts) / f64::from(limit));
    }
}

impl Demand {
    pub(super) fn count(&mut self, now: Millis) {
        if now - self.second >= SECOND {
            self.last = self.current;
            self.current = 0;
            self.second = now;
        }
        self.current += 1;
    }

    pub(super) fn peak(&self) -> u32 {
        self.last.max(self.current)
    }
}
