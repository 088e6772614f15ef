use clock::Millis;

const SECOND: Millis = Millis::from_secs(1);

/// The weight of the latest second in the exponential moving average.
const SMOOTHING: f64 = 0.25;

/// The demand of this VM's callers, in requests a second, smoothed over some seconds.
#[derive(Debug, Default)]
pub(super) struct Meter {
    /// When the current second began.
    pub(super) second_start: Millis,
    /// The demand for each region.
    pub(super) regions: Vec<Rate>,
    /// The demand that a shift has still to move.
    pub(super) moving: Rate,
}

/// A rate that is averaged over past seconds.
#[derive(Debug, Default)]
pub(super) struct Rate {
    /// Requests in the current second.
    pub(super) count: u32,
    /// The average of past seconds, in requests a second.
    pub(super) smoothed: f64,
}

impl Meter {
    pub(super) fn count(&mut self, region: u16) {
        if let Some(rate) = self.regions.get_mut(usize::from(region)) {
            rate.count += 1;
        }
    }

    pub(super) fn advance(&mut self, now: Millis) {
        while now - self.second_start >= SECOND {
            self.second_start = self.second_start + SECOND;
            self.regions.iter_mut().for_each(Rate::end_second);
            self.moving.end_second();
        }
    }
}

impl Rate {
    pub(super) fn rounded_up(&self) -> u32 {
        self.smoothed.ceil() as u32
    }

    pub(super) fn end_second(&mut self) {
        self.smoothed += SMOOTHING * (f64::from(self.count) - self.smoothed);
        self.count = 0;
    }
}
