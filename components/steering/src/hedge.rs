//! Second copies of short idempotent requests whose answer is late.
//!
//! A hedge is sent after most recent answers would have arrived, and copies and retries draw on
//! one budget, so that a slow service isn't sent more load for being slow. See docs/CHOICE.md.

use clock::Millis;
use settings::Class;
use std::collections::VecDeque;

/// Recent answers that the delay is taken from.
const RECENT: usize = 128;
/// The quantile of recent latencies after which a hedge is sent.
const QUANTILE: f64 = 0.95;
/// Fewer answers than this say too little about the quantile.
const RECENT_MIN: usize = 20;
/// Hedges sooner than this would double requests over a jittering link.
const DELAY_MIN: Millis = Millis(5);
/// The delay is worked out again after this many answers.
const REFRESH: u32 = 16;
/// Extra requests that may be saved up, so that a burst after a quiet time stays bounded.
pub const RESERVE: u32 = 10;

const TOKENS_MAX: f64 = RESERVE as f64;

/// The delay after which an unanswered request of one service is hedged.
#[derive(Clone, Debug, Default)]
pub struct Delay {
    recent: VecDeque<Millis>,
    since_refresh: u32,
    delay: Option<Millis>,
}

impl Delay {
    /// A delay without observations: nothing is hedged until enough answers were seen.
    pub fn new() -> Delay {
        Delay::default()
    }

    /// Notes the time that a short request took to be answered, with its hedge if it had one.
    pub fn observe(&mut self, latency: Millis) {
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
        self.since_refresh += 1;
        let stale = self.delay.is_none() || self.since_refresh >= REFRESH;
        if stale && self.recent.len() >= RECENT_MIN {
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        let mut sorted: Vec<Millis> = self.recent.iter().copied().collect();
        let at = ((sorted.len() as f64 * QUANTILE) as usize).min(sorted.len() - 1);
        let (_, quantile, _) = sorted.select_nth_unstable(at);
        self.delay = Some((*quantile).max(DELAY_MIN));
        self.since_refresh = 0;
    }

    /// How long to wait for the first answer before a copy is sent; `None` if it never is.
    pub fn get(&self, class: Class, idempotent: bool) -> Option<Millis> {
        if !idempotent || class == Class::Long {
            return None;
        }
        self.delay
    }
}

/// The budget that hedges and retries of one service share.
///
/// Each first attempt earns the preset's ratio; each extra attempt costs one. Over any span the
/// extra attempts are at most the ratio of the first ones plus [`RESERVE`], and a ratio of zero
/// allows none.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    tokens: f64,
}

impl Budget {
    /// A budget of `ratio` extra attempts for each first one.
    ///
    /// It starts full, so that a service with few requests isn't refused its first retries.
    pub fn new(ratio: f64) -> Budget {
        Budget { ratio, tokens: TOKENS_MAX }
    }

    /// Changes the ratio with the preset in force.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(TOKENS_MAX);
    }

    /// Takes one extra attempt; false if the budget is used up.
    pub fn spend(&mut self) -> bool {
        if self.ratio == 0.0 || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
