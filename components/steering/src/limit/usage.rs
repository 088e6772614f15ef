use clock::Millis;
use std::collections::VecDeque;

/// The sum of the amounts admitted during the last `span`, with one entry for each millisecond.
///
/// The clock truncates to milliseconds, so an entry counts until it is strictly older than the
/// span; otherwise two entries 999.1 ms apart could look 1,000 ms apart. Memory is bounded by the
/// span, whatever the cap.
#[derive(Clone, Debug)]
pub(super) struct Usage {
    span: Millis,
    entries: VecDeque<Entry>,
    sum: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Millis,
    amount: u64,
}

impl Usage {
    pub(super) fn new(span: Millis) -> Usage {
        Usage { span, entries: VecDeque::new(), sum: 0 }
    }

    /// Drops entries older than the span. Returns the later of `now` and the newest entry's time,
    /// because the clock may step back.
    pub(super) fn advance(&mut self, now: Millis) -> Millis {
        let now = self.entries.back().map_or(now, |last| last.at.max(now));
        while let Some(first) = self.entries.front() {
            if now - first.at <= self.span {
                break;
            }
            self.sum -= first.amount;
            self.entries.pop_front();
        }
        now
    }

    pub(super) fn sum(&self) -> u64 {
        self.sum
    }

    /// Adds `amount` at `now`, which must come from [`Usage::advance`].
    pub(super) fn add(&mut self, now: Millis, amount: u64) {
        self.sum += amount;
        match self.entries.back_mut() {
            Some(last) if last.at == now => last.amount += amount,
            _ => self.entries.push_back(Entry { at: now, amount }),
        }
    }

    /// The time from `now` until entries of at least `amount` in sum are older than the span.
    pub(super) fn wait_for(&self, now: Millis, amount: u64) -> Millis {
        if amount == 0 {
            return Millis::ZERO;
        }
        let mut freed = 0;
        for entry in &self.entries {
            freed += entry.amount;
            if freed >= amount {
                return entry.at + self.span + Millis(1) - now;
            }
        }
        self.span + Millis(1)
    }
}
