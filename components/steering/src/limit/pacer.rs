use super::Refused;
use super::usage::Usage;
use clock::Millis;

const SECOND: Millis = Millis(1000);
/// The burst window: a tenth of a second carries at most a tenth of a second's bytes, which keeps
/// the sending smooth.
const BURST_SPAN: Millis = Millis(100);
const BURSTS_PER_SECOND: u64 = 10;
const BYTES_PER_KBIT: u64 = 125;
/// One grant is at most a quarter of a burst window's bytes, so that concurrent streams take turns.
const GRANTS_PER_BURST: u64 = 4;
/// In bytes. Smaller grants cost more in calls than they gain in smoothness.
const GRANT_MIN: u64 = 1024;

/// Paces the bytes that one entry VM sends over a link.
///
/// In no window of 1,000 ms are more bytes granted than the cap allows. Bytes count when they are
/// granted, so a stream cancels its wait by dropping its [`Waiter`]. Slots are reserved at most a
/// second ahead, so slots of cancelled streams leave the link idle for less than a second.
#[derive(Clone, Debug)]
pub struct Pacer {
    /// In kbit/s.
    cap_kbit: u64,
    burst: Usage,
    second: Usage,
    /// The end of the last reserved slot.
    queued_until: Millis,
}

/// The slot of one stream in the queue of a link.
#[derive(Debug, Default)]
pub struct Waiter {
    /// When the slot begins; `None` if the stream doesn't wait.
    at: Option<Millis>,
}

impl Pacer {
    /// Creates the pacer of an idle link that carries `cap_kbit` kbit/s.
    pub fn new(cap_kbit: u64) -> Pacer {
        let burst = Usage::new(BURST_SPAN);
        let second = Usage::new(SECOND);
        Pacer { cap_kbit, burst, second, queued_until: Millis::ZERO }
    }

    /// The cap in force, in kbit/s.
    pub fn cap_kbit(&self) -> u64 {
        self.cap_kbit
    }

    /// Changes the cap. Bytes already granted still count, and a waiting stream gets a new time at
    /// its next call.
    pub fn set_cap_kbit(&mut self, cap_kbit: u64) {
        self.cap_kbit = cap_kbit;
        self.queued_until = Millis::ZERO;
    }

    /// Grants up to `wanted` bytes to be sent at once.
    ///
    /// The grant may be smaller than `wanted`; the stream sends it and then requests the rest. Each
    /// stream keeps one `waiter` and passes it to every call; streams are served in turn.
    ///
    /// # Errors
    ///
    /// [`Refused`] with the time to wait if no bytes can be granted now.
    pub fn take(&mut self, now: Millis, wanted: u64, waiter: &mut Waiter) -> Result<u64, Refused> {
        if wanted == 0 {
            return Ok(0);
        }
        let now = self.second.advance(now);
        self.burst.advance(now);
        let quota = self.quota();
        if quota == 0 {
            return Err(Refused { wait: SECOND });
        }
        let grant = wanted.min((quota / GRANTS_PER_BURST).max(GRANT_MIN)).min(quota);
        let free = now + self.wait_for(now, grant, quota);
        let at = waiter.at.map_or(free.max(self.queued_until), |at| at.max(free));
        if at <= now {
            waiter.at = None;
            self.burst.add(now, grant);
            self.second.add(now, grant);
            return Ok(grant);
        }
        if waiter.at.is_none() {
            let spacing = Millis((grant * (BURST_SPAN.0 + 1)).div_ceil(quota));
            self.queued_until = (at + spacing).min(now + SECOND);
        }
        waiter.at = Some(at);
        Err(Refused { wait: at - now })
    }

    /// The bytes that one burst window may carry.
    fn quota(&self) -> u64 {
        self.cap_kbit.saturating_mul(BYTES_PER_KBIT) / BURSTS_PER_SECOND
    }

    /// The time until `grant` bytes fit both the burst window and the window of one second.
    fn wait_for(&self, now: Millis, grant: u64, quota: u64) -> Millis {
        let burst_excess = (self.burst.sum() + grant).saturating_sub(quota);
        let second_excess = (self.second.sum() + grant).saturating_sub(quota * BURSTS_PER_SECOND);
        let burst_free = self.burst.wait_for(now, burst_excess);
        let second_free = self.second.wait_for(now, second_excess);
        burst_free.max(second_free)
    }
}
