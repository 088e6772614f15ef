use clock::Millis;

const SECOND: Millis = Millis::from_secs(1);

/// The weight of the last second in the smoothed demand.
const SMOOTHING: f64 = 0.25;

/// The demand of the node's callers, smoothed over some seconds.
#[derive(Debug, Default)]
pub(super) struct Meter {
    pub(super) second: Millis,
    pub(super) regions: Vec<Rate>,
    pub(super) moving: Rate,
}

/// A count in the current second and its smoothed rate.
#[derive(Debug, Default)]
pub(super) struct Rate {
    pub(super) count: u32,
    pub(super) smoothed: f64,
}

impl Meter {
    pub(super) fn count(&mut self, region: u16) {
        if let Some(rate) = self.regions.get_mut(usize::from(region)) {
            rate.count += 1;
        }
    }

    pub(super) fn advance(&mut self, now: Millis) {
        while now - self.second >= SECOND {
            self.second = self.second + SECOND;
            self.regions.iter_mut().for_each(Rate::end_second);
            self.moving.end_second();
        }
    }
}

impl Rate {
    pub(super) fn whole(&self) -> u32 {
        self.smoothed.ceil() as u32
    }

    pub(super) fn end_second(&mut self) {
        self.smoothed += SMOOTHING * (f64::from(self.count) - self.smoothed);
        self.count = 0;
    }
}
