use crate::State;
use clock::Millis;
use settings::Class;
use std::sync::Arc;

/// Weight of a new sample in the moving average of the service time.
const SAMPLE_WEIGHT: f64 = 0.3;
/// Time without requests after a failed attempt; doubled for each further one in a row.
const MIN_BACKOFF: Millis = Millis(50);
const MAX_BACKOFF: Millis = Millis(2000);
/// Time until a new or returned upstream gets its full part of the load.
const RAMP_TIME: Millis = Millis(10_000);
/// Fraction of its load that it gets at once.
const RAMP_FLOOR: f64 = 0.1;

/// What this entry VM knows of one upstream.
#[derive(Clone, Debug)]
pub struct Member {
    /// The upstream's name.
    pub name: Arc<str>,
    /// Whether it takes new requests.
    pub state: State,
    /// Round-trip time from this entry VM.
    pub round_trip: Millis,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of entry VMs that share its slots.
    pub sharers: u32,
    /// Slots that this entry VM owns for short requests.
    pub own_slots: u32,
    /// Long requests that this entry VM may have in flight to it.
    pub long_slots: u32,
    /// Requests that this entry VM may have in flight to it, by its limit of connections.
    pub connections: u32,
    /// Short requests in flight from this entry VM.
    pub short_in_flight: u32,
    /// Long requests in flight from this entry VM.
    pub long_in_flight: u32,
    /// The last load report.
    pub report: Option<Report>,
    /// Whether it is in the last subset; if not, its index is free once no request is in flight.
    pub(super) listed: bool,
    /// Set while it is ejected.
    pub(super) ejection: Option<super::ejection::Ejection>,
    /// Requests in flight.
    in_progress: Vec<Ticket>,
    /// Tells tickets apart.
    serial: u64,
    /// Moving average of the service time of short requests.
    average_ms: f64,
    samples: u32,
    /// Failed attempts in a row.
    failures: u32,
    backed_off_until: Millis,
    ramp_start: Option<Millis>,
}

/// An upstream's load report, which may be outdated or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// When this entry VM received it.
    pub at: Millis,
    /// Requests that were running.
    pub running: u32,
    /// Requests that were waiting for a slot.
    pub waiting: u32,
}

/// A request in flight, to be passed to [`super::Pool::finish`] when it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The upstream's index in the pool.
    pub index: usize,
    /// The request's class.
    pub class: Class,
    /// When it was sent.
    pub at: Millis,
    pub(super) serial: u64,
    /// Whether the request probes an ejected upstream.
    pub probe: bool,
}

/// How an attempt ended, as far as that depends on the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response was complete.
    Answered,
    /// The upstream refused it, or no connection could be opened.
    Refused,
    /// The connection broke or the deadline passed.
    Broken,
    /// This entry VM cancelled it, because a copy was faster or the caller disconnected.
    Cancelled,
}

impl Member {
    pub(super) fn new(name: Arc<str>, state: State) -> Member {
        Member {
            name,
            state,
            round_trip: Millis::ZERO,
            slots: 1,
            sharers: 1,
            own_slots: 0,
            long_slots: 0,
            connections: u32::MAX,
            short_in_flight: 0,
            long_in_flight: 0,
            report: None,
            listed: true,
            ejection: None,
            in_progress: Vec::new(),
            serial: 0,
            average_ms: 0.0,
            samples: 0,
            failures: 0,
            backed_off_until: Millis::ZERO,
            ramp_start: None,
        }
    }

    /// Requests in flight from this entry VM.
    pub fn in_flight(&self) -> u32 {
        self.short_in_flight + self.long_in_flight
    }

    /// Whether it is ejected as an outlier.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// Short requests that it responded to since it was discovered or last returned.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Whether it gets no requests because of recent failed attempts.
    pub fn is_backed_off(&self, now: Millis) -> bool {
        now < self.backed_off_until
    }

    /// Starts the ramp of an upstream that is new or returns; ends its ejection.
    pub(super) fn begin_ramp(&mut self, now: Millis) {
        self.ramp_start = Some(now);
        self.samples = 0;
        self.average_ms = 0.0;
        self.ejection = None;
    }

    /// Fraction of its full load that it gets at `now`.
    pub fn ramp(&self, now: Millis) -> f64 {
        let Some(from) = self.ramp_start else { return 1.0 };
        let part = (now - from).as_secs_f64() / RAMP_TIME.as_secs_f64();
        part.clamp(RAMP_FLOOR, 1.0)
    }

    /// The expected service time in milliseconds, without the round trip; `None` while unknown.
    ///
    /// A short request in flight counts as if its response arrived now, if that is slower than the
    /// average; so a slow upstream is detected before its first late response.
    pub fn service_time(&self, now: Millis) -> Option<f64> {
        let mut known = (self.samples > 0).then_some(self.average_ms);
        for ticket in &self.in_progress {
            let age = (now - ticket.at - self.round_trip).0 as f64;
            if ticket.class == Class::Short && known.is_none_or(|average_ms| age > average_ms) {
                known = Some(moving_average(known, age));
            }
        }
        known
    }

    pub(super) fn start(&mut self, index: usize, class: Class, probe: bool, now: Millis) -> Ticket {
        match class {
            Class::Short => self.short_in_flight += 1,
            Class::Long => self.long_in_flight += 1,
        }
        self.serial += 1;
        let ticket = Ticket { index, class, at: now, serial: self.serial, probe };
        self.in_progress.push(ticket);
        ticket
    }

    pub(super) fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Millis) {
        let Some(at) = self.in_progress.iter().position(|other| other.serial == ticket.serial)
        else {
            return;
        };
        self.in_progress.swap_remove(at);
        match ticket.class {
            Class::Short => self.short_in_flight -= 1,
            Class::Long => self.long_in_flight -= 1,
        }
        match outcome {
            Outcome::Answered => self.observe(ticket, now),
            Outcome::Cancelled => self.observe_at_least(ticket, now),
            Outcome::Refused | Outcome::Broken => self.back_off(now),
        }
    }

    fn observe(&mut self, ticket: Ticket, now: Millis) {
        self.failures = 0;
        if ticket.class == Class::Short {
            self.add_sample(self.time_since(ticket, now));
        }
    }

    /// Records a cancelled attempt, whose response would have taken at least until now.
    fn observe_at_least(&mut self, ticket: Ticket, now: Millis) {
        let age = self.time_since(ticket, now);
        if ticket.class == Class::Short && self.samples > 0 && age > self.average_ms {
            self.add_sample(age);
        }
    }

    fn time_since(&self, ticket: Ticket, now: Millis) -> f64 {
        (now - ticket.at - self.round_trip).0 as f64
    }

    fn add_sample(&mut self, time: f64) {
        let known = (self.samples > 0).then_some(self.average_ms);
        self.average_ms = moving_average(known, time);
        self.samples = self.samples.saturating_add(1);
    }

    fn back_off(&mut self, now: Millis) {
        let span = Millis(MIN_BACKOFF.0 << self.failures.min(10)).min(MAX_BACKOFF);
        self.failures = self.failures.saturating_add(1);
        self.backed_off_until = now + span;
    }
}

fn moving_average(known: Option<f64>, sample: f64) -> f64 {
    known.map_or(sample, |known| known + SAMPLE_WEIGHT * (sample - known))
}
