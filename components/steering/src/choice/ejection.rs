//! Setting aside upstreams that are much slower than their peers.

use super::member::{Member, Outcome, Ticket};
use crate::State;
use clock::Millis;

/// An upstream this many times slower than the median of its peers is set aside.
const SLOW_FACTOR: f64 = 3.0;
/// An upstream back below this many times the median is used again.
const RETURN_FACTOR: f64 = 2.0;
/// Differences below this, in milliseconds, don't set an upstream aside.
const SLOW_MARGIN_MS: f64 = 5.0;
/// At most one of this many upstreams is set aside.
const BOUND: usize = 4;
/// Peers without this many samples say nothing of what is usual.
const SAMPLES_MIN: u32 = 5;
/// Upstreams in use that are enough to say what is usual.
const PEERS_MIN: usize = 3;
/// The time from setting aside to the first probe; doubled after each slow one.
const PROBE_MIN: Millis = Millis(500);
const PROBE_MAX: Millis = Millis(16_000);

/// An upstream that no request may probe, as with a service of orders, returns this long after the
/// probe was due.
const UNPROBED_MAX: Millis = Millis(10_000);

/// Since when an upstream is set aside, and when it is tried again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Aside {
    probe_at: Millis,
    interval: Millis,
}

impl Aside {
    fn new(now: Millis) -> Aside {
        Aside { probe_at: now + PROBE_MIN, interval: PROBE_MIN }
    }

    pub(super) fn is_due(&self, now: Millis) -> bool {
        now >= self.probe_at
    }

    /// Whether no request that may probe has come for so long that it is tried without.
    fn is_expired(&self, now: Millis) -> bool {
        now >= self.probe_at + UNPROBED_MAX
    }

    /// Puts the next probe off, while one is under way and after a slow one.
    pub(super) fn put_off(&mut self, now: Millis) {
        self.interval = Millis(self.interval.0 * 2).min(PROBE_MAX);
        self.probe_at = now + self.interval;
    }
}

/// The median service time of the upstreams that are in use, in milliseconds.
///
/// While too few upstreams are in use to compare with each other, as at a low load, `before` goes
/// on as the measure: what got slower since then is slow, rather than usual.
pub(super) fn usual(members: &[Member], before: Option<f64>, now: Millis) -> Option<f64> {
    let known = members.iter().filter(|m| is_peer(m)).filter_map(|m| m.service_time(now));
    let mut times: Vec<f64> = known.collect();
    if times.is_empty() {
        return before;
    }
    let middle = times.len() / 2;
    let (_, &mut median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
    if times.len() >= PEERS_MIN {
        return Some(median);
    }
    Some(before.map_or(median, |before| before.min(median)))
}

fn is_peer(member: &Member) -> bool {
    member.state == State::Live && member.aside.is_none() && member.samples() >= SAMPLES_MIN
}

/// Whether an upstream is much slower than is usual.
pub(super) fn is_slow(member: &Member, usual: f64, now: Millis) -> bool {
    let time = member.service_time(now).unwrap_or_default();
    time > usual * SLOW_FACTOR && time - usual > SLOW_MARGIN_MS
}

/// Returns upstreams that were due for a probe but got none.
pub(super) fn return_unprobed(members: &mut [Member], now: Millis) {
    for member in members {
        if member.aside.is_some_and(|aside| aside.is_expired(now)) {
            member.begin_ramp(now);
        }
    }
}

/// Sets stragglers aside, the slowest first, never more than a bounded part.
pub(super) fn set_aside(members: &mut [Member], usual: f64, now: Millis) {
    let live = members.iter().filter(|m| m.state == State::Live).count();
    let mut room = (live / BOUND).saturating_sub(count(members));
    while room > 0 {
        let Some(slowest) = slowest(members, now) else { return };
        if !is_slow(&members[slowest], usual, now) {
            return;
        }
        members[slowest].aside = Some(Aside::new(now));
        room -= 1;
    }
}

fn count(members: &[Member]) -> usize {
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

/// Ends or prolongs the time aside after a probe.
pub(super) fn judge_probe(
    member: &mut Member,
    ticket: Ticket,
    outcome: Outcome,
    usual: f64,
    now: Millis,
) {
    if !ticket.probe || member.aside.is_none() {
        return;
    }
    let time = (now - ticket.at - member.round_trip).0 as f64;
    let fast = time <= (usual * RETURN_FACTOR).max(SLOW_MARGIN_MS);
    if outcome == Outcome::Answered && fast {
        member.begin_ramp(now);
    }
}
