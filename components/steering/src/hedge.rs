//! Hedging: second copies of short idempotent requests whose response is late.
//!
//! A hedge is sent when 95% of recent responses would have arrived. Hedges and retries share one
//! budget, so that a slow service isn't overloaded by extra attempts. See docs/CHOICE.md.

use clock::Millis;
use settings::Class;
use std::collections::VecDeque;

/// Latencies that the delay is computed from.
const SAMPLES_MAX: usize = 128;
/// The quantile of recent latencies after which a hedge is sent.
const QUANTILE: f64 = 0.95;
/// Fewer latencies than this give no usable estimate of the quantile.
const SAMPLES_MIN: usize = 20;
/// Sooner hedges would duplicate many requests on a link with jitter.
const DELAY_MIN: Millis = Millis(5);
/// Responses after which the delay is computed again.
const REFRESH_INTERVAL: u32 = 16;
/// The most extra attempts that a budget can save up; bounds the burst after a quiet time.
pub const BUDGET_MAX: u32 = 10;

const TOKENS_MAX: f64 = BUDGET_MAX as f64;

/// The delay after which a request of one service without a response is hedged.
#[derive(Clone, Debug, Default)]
pub struct Delay {
    /// The latest latencies, oldest first.
    samples: VecDeque<Millis>,
    since_refresh: u32,
    delay: Option<Millis>,
}

impl Delay {
    /// Creates a delay without observations: nothing is hedged until enough latencies are recorded.
    pub fn new() -> Delay {
        Delay::default()
    }

    /// Records the latency of a short request, which is that of the first response if it was
    /// hedged.
    pub fn observe(&mut self, latency: Millis) {
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(latency);
        self.since_refresh += 1;
        let stale = self.delay.is_none() || self.since_refresh >= REFRESH_INTERVAL;
        if stale && self.samples.len() >= SAMPLES_MIN {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        let mut sorted: Vec<Millis> = self.samples.iter().copied().collect();
        let at = ((sorted.len() as f64 * QUANTILE) as usize).min(sorted.len() - 1);
        let (_, quantile, _) = sorted.select_nth_unstable(at);
        self.delay = Some((*quantile).max(DELAY_MIN));
        self.since_refresh = 0;
    }

    /// How long to wait for a response before a hedge is sent; `None` if the request isn't hedged.
    pub fn get(&self, class: Class, idempotent: bool) -> Option<Millis> {
        if !idempotent || class == Class::Long {
            return None;
        }
        self.delay
    }
}

/// The budget that hedges and retries of one service share: a token bucket.
///
/// Each first attempt earns `ratio` tokens and each extra attempt costs one. Over any time the
/// extra attempts are at most `ratio` times the first ones plus [`BUDGET_MAX`], and a ratio of zero
/// allows none.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a budget of `ratio` extra attempts for each first one.
    ///
    /// It starts full, so that a service with few requests has its first retries.
    pub fn new(ratio: f64) -> Budget {
        Budget { ratio, tokens: TOKENS_MAX }
    }

    /// Changes the ratio; saved tokens are kept.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(TOKENS_MAX);
    }

    /// Takes the token for one extra attempt; returns false if there is none.
    pub fn spend(&mut self) -> bool {
        if self.ratio == 0.0 || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
