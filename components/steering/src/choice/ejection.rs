//! Outlier ejection: upstreams that are much slower than the others get no requests for a while.

use super::member::{Member, Outcome, Ticket};
use crate::State;
use clock::Millis;

/// An upstream this many times slower than the median is ejected.
const SLOW_FACTOR: f64 = 3.0;
/// An ejected upstream whose probe takes less than this many times the median is used again.
const RECOVERED_FACTOR: f64 = 2.0;
/// Smaller differences from the median don't eject an upstream.
const SLOW_MARGIN_MS: f64 = 5.0;
/// At most one in this many live upstreams is ejected.
const EJECTED_ONE_IN: usize = 4;
/// Upstreams with fewer samples don't count in the median.
const MIN_SAMPLES: u32 = 5;
/// Fewest upstreams whose median is used without regard to the previous one.
const MIN_COMPARED: usize = 3;
/// Time from the ejection to the first probe; doubled for each further probe.
const MIN_PROBE_INTERVAL: Millis = Millis(500);
const MAX_PROBE_INTERVAL: Millis = Millis(16_000);

/// An ejected upstream is used again this long after its probe was due, even without a probe: only
/// idempotent requests are sent as probes, so a service that gets only orders never sends one.
const MAX_PROBE_WAIT: Millis = Millis(10_000);

/// When an ejected upstream is probed next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    probe_at: Millis,
    interval: Millis,
}

impl Ejection {
    fn new(now: Millis) -> Ejection {
        Ejection { probe_at: now + MIN_PROBE_INTERVAL, interval: MIN_PROBE_INTERVAL }
    }

    pub(super) fn is_probe_due(&self, now: Millis) -> bool {
        now >= self.probe_at
    }

    /// Whether the probe has been due for so long that the upstream is used again without one.
    fn is_probe_overdue(&self, now: Millis) -> bool {
        now >= self.probe_at + MAX_PROBE_WAIT
    }

    /// Doubles the interval to the next probe when a probe is sent; a fast one ends the ejection.
    pub(super) fn postpone_probe(&mut self, now: Millis) {
        self.interval = Millis(self.interval.0 * 2).min(MAX_PROBE_INTERVAL);
        self.probe_at = now + self.interval;
    }
}

/// The median service time of the upstreams in use, in milliseconds.
///
/// With fewer than [`MIN_COMPARED`] upstreams, as at a low load, it does not rise above the
/// `previous` median: upstreams that got slower since then are slow, rather than typical.
pub(super) fn median_service_time(
    members: &[Member],
    previous: Option<f64>,
    now: Millis,
) -> Option<f64> {
    let known = members.iter().filter(|m| is_compared(m)).filter_map(|m| m.service_time(now));
    let mut times: Vec<f64> = known.collect();
    if times.is_empty() {
        return previous;
    }
    let middle = times.len() / 2;
    let (_, &mut median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
    if times.len() >= MIN_COMPARED {
        return Some(median);
    }
    Some(previous.map_or(median, |previous| previous.min(median)))
}

fn is_compared(member: &Member) -> bool {
    member.state == State::Live && member.ejection.is_none() && member.samples() >= MIN_SAMPLES
}

/// Whether an upstream is much slower than the median.
pub(super) fn is_slow(member: &Member, median: f64, now: Millis) -> bool {
    let time = member.service_time(now).unwrap_or_default();
    time > median * SLOW_FACTOR && time - median > SLOW_MARGIN_MS
}

/// Ends the ejection of upstreams whose probe is overdue.
pub(super) fn return_unprobed(members: &mut [Member], now: Millis) {
    for member in members {
        if member.ejection.is_some_and(|ejection| ejection.is_probe_overdue(now)) {
            member.begin_ramp(now);
        }
    }
}

/// Ejects slow upstreams, the slowest first, up to the bound.
pub(super) fn eject_slowest(members: &mut [Member], median: f64, now: Millis) {
    let live = members.iter().filter(|m| m.state == State::Live).count();
    let mut allowed = (live / EJECTED_ONE_IN).saturating_sub(ejected_count(members));
    while allowed > 0 {
        let Some(slowest) = slowest(members, now) else { return };
        if !is_slow(&members[slowest], median, now) {
            return;
        }
        members[slowest].ejection = Some(Ejection::new(now));
        allowed -= 1;
    }
}

fn ejected_count(members: &[Member]) -> usize {
    members.iter().filter(|m| m.state == State::Live && m.is_ejected()).count()
}

fn slowest(members: &[Member], now: Millis) -> Option<usize> {
    let mut slowest = None;
    let mut most = 0.0;
    for (index, member) in members.iter().enumerate() {
        let time = member.service_time(now).unwrap_or_default();
        if member.state == State::Live && !member.is_ejected() && time > most {
            slowest = Some(index);
            most = time;
        }
    }
    slowest
}

/// Ends the ejection if a probe was fast.
pub(super) fn finish_probe(
    member: &mut Member,
    ticket: Ticket,
    outcome: Outcome,
    median: f64,
    now: Millis,
) {
    if !ticket.probe || member.ejection.is_none() {
        return;
    }
    let time = (now - ticket.at - member.round_trip).0 as f64;
    let fast = time <= (median * RECOVERED_FACTOR).max(SLOW_MARGIN_MS);
    if outcome == Outcome::Answered && fast {
        member.begin_ramp(now);
    }
}
