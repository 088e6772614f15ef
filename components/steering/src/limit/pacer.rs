use super::Refused;
use super::log::Log;
use clock::Millis;

const SECOND: Millis = Millis(1000);
/// Tenths keep the flow smooth: no burst is longer than a tenth of a second's bytes.
const SPAN: Millis = Millis(100);
const SPANS_PER_SECOND: u64 = 10;
const BYTES_PER_KBIT: u64 = 125;
/// A single grant is at most this part of a span, so that concurrent streams take turns.
const GRANTS_PER_SPAN: u64 = 4;
/// Smaller grants cost more in calls than they gain in smoothness.
const GRANT_MIN: u64 = 1024;

/// Pacing of the bytes that one entry VM sends over a link.
///
/// In no window of 1,000 ms are more bytes granted than the cap allows. Bytes count when they are
/// taken and a waiter holds only a [`Waiter`] of its own, so dropping the turn is all it takes to
/// cancel. Turns are given at most a second ahead, so turns that nobody takes idle the link for
/// less than that.
#[derive(Clone, Debug)]
pub struct Pacer {
    cap_kbit: u64,
    burst: Log,
    second: Log,
    queued_until: Millis,
}

/// The place of one stream among those that wait for the same link.
#[derive(Debug, Default)]
pub struct Waiter {
    at: Option<Millis>,
}

impl Pacer {
    /// An idle link that carries `cap_kbit` kbit/s.
    pub fn new(cap_kbit: u64) -> Pacer {
        let burst = Log::new(SPAN);
        let second = Log::new(SECOND);
        Pacer { cap_kbit, burst, second, queued_until: Millis::ZERO }
    }

    /// The cap in force, in kbit/s.
    pub fn cap_kbit(&self) -> u64 {
        self.cap_kbit
    }

    /// Changes the cap, keeping what was sent; waiters are told anew when they come back.
    pub fn set_cap_kbit(&mut self, cap_kbit: u64) {
        self.cap_kbit = cap_kbit;
        self.queued_until = Millis::ZERO;
    }

    /// Takes up to `wanted` bytes to be sent at once, or says how long to wait before asking again.
    ///
    /// The grant may be smaller than `wanted`: the stream sends it and asks for the rest. Each
    /// stream keeps one `turn` and passes it to every call; streams are served in turn.
    pub fn take(&mut self, now: Millis, wanted: u64, turn: &mut Waiter) -> Result<u64, Refused> {
        if wanted == 0 {
            return Ok(0);
        }
        let now = self.second.advance(now);
        self.burst.advance(now);
        let quota = self.quota();
        if quota == 0 {
            return Err(Refused { wait: SECOND });
        }
        let grant = wanted.min((quota / GRANTS_PER_SPAN).max(GRANT_MIN)).min(quota);
        let free = now + self.wait_for(now, grant, quota);
        let at = turn.at.map_or(free.max(self.queued_until), |at| at.max(free));
        if at <= now {
            turn.at = None;
            self.burst.add(now, grant);
            self.second.add(now, grant);
            return Ok(grant);
        }
        if turn.at.is_none() {
            let spacing = Millis((grant * (SPAN.0 + 1)).div_ceil(quota));
            self.queued_until = (at + spacing).min(now + SECOND);
        }
        turn.at = Some(at);
        Err(Refused { wait: at - now })
    }

    /// The bytes that one span may carry.
    fn quota(&self) -> u64 {
        self.cap_kbit.saturating_mul(BYTES_PER_KBIT) / SPANS_PER_SECOND
    }

    /// The time until `grant` bytes fit into the span and into the second that end then.
    fn wait_for(&self, now: Millis, grant: u64, quota: u64) -> Millis {
        let burst_excess = (self.burst.sum() + grant).saturating_sub(quota);
        let second_excess = (self.second.sum() + grant).saturating_sub(quota * SPANS_PER_SECOND);
        let burst_free = self.burst.wait_for(now, burst_excess);
        let second_free = self.second.wait_for(now, second_excess);
        burst_free.max(second_free)
    }
}
