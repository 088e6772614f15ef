use clock::Millis;

const SECOND: Millis = Millis::from_secs(1);

/// The moves of requests since the current step began.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) start: Millis,
    /// When the current second began.
    pub(super) second_start: Millis,
    /// Requests to be moved into each region in the current second.
    pub(super) moves: Vec<u32>,
    /// The highest ratio of moves in a second to a region's limit.
    pub(super) peak: f64,
    /// Whether the shift cap deferred a request.
    pub(super) deferred: bool,
}

/// This VM's requests, counted by second.
#[derive(Clone, Debug, Default)]
pub(super) struct Requests {
    /// When the current second began.
    pub(super) second_start: Millis,
    current: u32,
    previous: u32,
}

impl Step {
    pub(super) fn new(start: Millis, regions: usize) -> Step {
        let moves = vec![0; regions];
        Step { start, second_start: start, moves, peak: 0.0, deferred: false }
    }

    /// Counts a request to be moved to `to` and updates the peak.
    pub(super) fn count(&mut self, to: u16, limits: &[u32], now: Millis) {
        if now - self.second_start >= SECOND {
            self.second_start = now;
            self.moves.fill(0);
        }
        let Some(moves) = self.moves.get_mut(usize::from(to)) else {
            return;
        };
        *moves += 1;
        let limit = limits.get(usize::from(to)).copied().unwrap_or(0).max(1);
        self.peak = self.peak.max(f64::from(*moves) / f64::from(limit));
    }
}

impl Requests {
    pub(super) fn count(&mut self, now: Millis) {
        if now - self.second_start >= SECOND {
            self.previous = self.current;
            self.current = 0;
            self.second_start = now;
        }
        self.current += 1;
    }

    /// The more requests of the current and the previous second.
    pub(super) fn peak(&self) -> u32 {
        self.previous.max(self.current)
    }
}
