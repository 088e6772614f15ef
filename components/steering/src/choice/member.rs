use crate::State;
use clock::Millis;
use settings::Class;
use std::sync::Arc;

/// The weight of a new sample in the moving average of latency.
const SAMPLE_WEIGHT: f64 = 0.3;
/// An upstream that refused is left alone for this long, doubled for each refusal in a row.
const BACKOFF_MIN: Millis = Millis(50);
const BACKOFF_MAX: Millis = Millis(2000);
/// A new or returned upstream gets its full part of the load after this time.
const RAMP: Millis = Millis(10_000);
/// The part of the load that a new upstream gets at once.
const RAMP_FLOOR: f64 = 0.1;

/// What this entry VM knows of one upstream.
#[derive(Clone, Debug)]
pub struct Member {
    /// The upstream's name.
    pub name: Arc<str>,
    /// Whether it takes new work.
    pub state: State,
    /// The round trip to it from this entry VM.
    pub round_trip: Millis,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Entry VMs among which its slots are divided.
    pub sharers: u32,
    /// The slots of it that this entry VM may use for short requests without sharing.
    pub own_slots: u32,
    /// Long requests that this entry VM may have in flight to it.
    pub long_slots: u32,
    /// Requests that this entry VM may have in flight to it, for its limit of connections.
    pub connections: u32,
    /// Short requests in flight from this entry VM.
    pub short_in_flight: u32,
    /// Long requests in flight from this entry VM.
    pub long_in_flight: u32,
    /// The last load report.
    pub report: Option<Report>,
    /// Whether the last roster has it; if not, its place is free once nothing is in flight.
    pub(super) listed: bool,
    /// When it was set aside as a straggler.
    pub(super) aside: Option<super::ejection::Aside>,
    started: Vec<Ticket>,
    serial: u64,
    latency: f64,
    samples: u32,
    refusals: u32,
    refused_until: Millis,
    ramp_from: Option<Millis>,
}

/// A load report of an upstream, which may lag or mislead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// When this VM received it.
    pub at: Millis,
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited for a slot.
    pub waiting: u32,
}

/// A request in flight, to be handed back to [`super::Pool::finish`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The upstream's index in the pool.
    pub index: usize,
    /// The request's class.
    pub class: Class,
    /// When it was sent.
    pub at: Millis,
    pub(super) serial: u64,
    /// Whether the request tries an upstream that was set aside.
    pub probe: bool,
}

/// How an attempt ended, as far as it tells about the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered in full.
    Answered,
    /// It was refused, or no connection could be opened.
    Refused,
    /// The connection broke or the deadline passed.
    Broken,
    /// This VM cancelled it, because a copy was faster or the caller left.
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
            aside: None,
            started: Vec::new(),
            serial: 0,
            latency: 0.0,
            samples: 0,
            refusals: 0,
            refused_until: Millis::ZERO,
            ramp_from: None,
        }
    }

    /// Requests in flight from this entry VM.
    pub fn in_flight(&self) -> u32 {
        self.short_in_flight + self.long_in_flight
    }

    /// Whether it was set aside as a straggler.
    pub fn is_ejected(&self) -> bool {
        self.aside.is_some()
    }

    /// Short requests that were answered since the upstream was seen first or came back.
    pub fn samples(&self) -> u32 {
        self.samples
    }

    /// Whether it refused so lately that it should be left alone.
    pub fn is_backed_off(&self, now: Millis) -> bool {
        now < self.refused_until
    }

    /// Begins the ramp of an upstream that is new or takes work again.
    pub(super) fn begin_ramp(&mut self, now: Millis) {
        self.ramp_from = Some(now);
        self.samples = 0;
        self.latency = 0.0;
        self.aside = None;
    }

    /// The part of its full load that it may get by now, up to one.
    pub fn ramp(&self, now: Millis) -> f64 {
        let Some(from) = self.ramp_from else { return 1.0 };
        let part = (now - from).as_secs_f64() / RAMP.as_secs_f64();
        part.clamp(RAMP_FLOOR, 1.0)
    }

    /// The expected time in the upstream in milliseconds, without the round trip.
    ///
    /// A short request still unanswered counts as if it were answered now, if that is slower than
    /// the average; so a straggler shows before its first late answer.
    pub fn service_time(&self, now: Millis) -> Option<f64> {
        let mut known = (self.samples > 0).then_some(self.latency);
        for ticket in &self.started {
            let age = (now - ticket.at - self.round_trip).0 as f64;
            if ticket.class == Class::Short && known.is_none_or(|latency| age > latency) {
                known = Some(blend(known, age));
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
        self.started.push(ticket);
        ticket
    }

    pub(super) fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Millis) {
        let Some(at) = self.started.iter().position(|other| other.serial == ticket.serial) else {
            return;
        };
        self.started.swap_remove(at);
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
        self.refusals = 0;
        if ticket.class == Class::Short {
            self.add_sample(self.time_since(ticket, now));
        }
    }

    /// A cancelled attempt tells only that an answer would have taken longer.
    fn observe_at_least(&mut self, ticket: Ticket, now: Millis) {
        let age = self.time_since(ticket, now);
        if ticket.class == Class::Short && self.samples > 0 && age > self.latency {
            self.add_sample(age);
        }
    }

    fn time_since(&self, ticket: Ticket, now: Millis) -> f64 {
        (now - ticket.at - self.round_trip).0 as f64
    }

    fn add_sample(&mut self, time: f64) {
        let known = (self.samples > 0).then_some(self.latency);
        self.latency = blend(known, time);
        self.samples = self.samples.saturating_add(1);
    }

    fn back_off(&mut self, now: Millis) {
        let span = Millis(BACKOFF_MIN.0 << self.refusals.min(10)).min(BACKOFF_MAX);
        self.refusals = self.refusals.saturating_add(1);
        self.refused_until = now + span;
    }
}

fn blend(known: Option<f64>, sample: f64) -> f64 {
    known.map_or(sample, |known| known + SAMPLE_WEIGHT * (sample - known))
}
