use super::member::{Member, Outcome, Report, Ticket};
use super::{Subset, Task, Unavailable};
use super::{ejection, ranked};
use crate::State;
use clock::Millis;
use settings::Class;
use std::sync::Arc;

/// The median over the peers is worked out at most this often.
const USUAL_PERIOD: Millis = Millis(10);

/// What one entry VM has observed of one service's upstreams.
///
/// Indices stay valid for requests in flight: an upstream that left the roster keeps its place
/// until the last of them has ended.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    usual: Option<f64>,
    usual_at: Option<Millis>,
}

impl Pool {
    /// A pool without upstreams.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// Takes over the roster of a new snapshot, keeping what was observed.
    ///
    /// Upstreams that are new or take work again after leaving are ramped; the first roster of a
    /// pool isn't, since it says nothing of when they started.
    pub fn update(&mut self, roster: &Subset, now: Millis) {
        let first = self.members.is_empty();
        let listed =
            |member: &Member| roster.candidates.iter().any(|c| c.upstream.name == member.name);
        for member in &mut self.members {
            if !listed(member) {
                member.state = State::Leaving;
                member.listed = false;
            }
        }
        for candidate in &roster.candidates {
            let index = self.place(&candidate.upstream.name);
            let member = &mut self.members[index];
            let returns = member.state != State::Live && candidate.upstream.state == State::Live;
            if returns && !first {
                member.begin_ramp(now);
            }
            member.listed = true;
            member.state = candidate.upstream.state;
            member.round_trip = candidate.round_trip;
            member.slots = candidate.slots;
            member.sharers = candidate.sharers;
            member.own_slots = candidate.own_slots;
            member.long_slots = candidate.long_slots;
            member.connections = candidate.connections;
        }
    }

    /// The index of the named upstream, in a vacated place or a new one if it wasn't known.
    fn place(&mut self, name: &Arc<str>) -> usize {
        if let Some(index) = self.members.iter().position(|member| member.name == *name) {
            return index;
        }
        let member = Member::new(Arc::clone(name), State::Leaving);
        let is_vacant = |member: &Member| !member.listed && member.in_flight() == 0;
        match self.members.iter().position(is_vacant) {
            Some(index) => {
                self.members[index] = member;
                index
            }
            None => {
                self.members.push(member);
                self.members.len() - 1
            }
        }
    }

    /// The upstreams by index.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The index of the named upstream.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| &*member.name == name)
    }

    /// Notes that an upstream itself says that it is leaving, before any list does.
    pub fn mark_leaving(&mut self, index: usize) {
        self.members[index].state = State::Leaving;
    }

    /// Notes an upstream's load report.
    pub fn report(&mut self, index: usize, report: Report) {
        self.members[index].report = Some(report);
    }

    /// Notes that a request is sent to a picked upstream.
    pub fn start(&mut self, index: usize, class: Class, probe: bool, now: Millis) -> Ticket {
        let member = &mut self.members[index];
        if probe && let Some(aside) = &mut member.aside {
            aside.put_off(now);
        }
        member.start(index, class, probe, now)
    }

    /// Notes how a request ended; each ticket is handed back once.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Millis) {
        let usual = self.median_service_time();
        let member = &mut self.members[ticket.index];
        member.finish(ticket, outcome, now);
        ejection::judge_probe(member, ticket, outcome, usual, now);
    }

    /// The median service time of the upstreams in use, in milliseconds; zero while unknown.
    pub fn median_service_time(&self) -> f64 {
        self.usual.unwrap_or_default()
    }

    /// How long an answer to `task` should take, round trip and queue included; `None` if it can't
    /// be served by an upstream in good standing.
    ///
    /// A request that several pools may serve, one for each region, goes to the one that is
    /// expected to answer first among those whose limits admit it.
    pub fn expected(&mut self, task: &Task, now: Millis) -> Option<Millis> {
        self.compare(now);
        let eligible = self.eligible(task).ok()?;
        let least = ranked::least_cost(&self.members, &eligible, self.median_service_time(), now);
        least.is_finite().then_some(Millis(least as u64))
    }

    /// Brings the comparison with peers up to date and sets stragglers aside.
    pub(super) fn compare(&mut self, now: Millis) {
        if self.usual_at.is_some_and(|at| now - at < USUAL_PERIOD && at <= now) {
            return;
        }
        self.usual_at = Some(now);
        ejection::return_unprobed(&mut self.members, now);
        self.usual = ejection::usual(&self.members, self.usual, now);
        let Some(usual) = self.usual else { return };
        ejection::set_aside(&mut self.members, usual, now);
    }

    /// The upstreams that may be sent `task` at all, or why there is none.
    ///
    /// Suspects are among them only if no live upstream is left.
    pub(super) fn eligible(&self, task: &Task) -> Result<Vec<usize>, Unavailable> {
        for state in [State::Live, State::Suspect] {
            match self.eligible_in(state, task) {
                Err(Unavailable::Empty | Unavailable::Exhausted) if state == State::Live => {}
                other => return other,
            }
        }
        Err(Unavailable::Empty)
    }

    fn eligible_in(&self, state: State, task: &Task) -> Result<Vec<usize>, Unavailable> {
        let mut reason = Unavailable::Empty;
        let mut found = Vec::with_capacity(self.members.len());
        for (index, member) in self.members.iter().enumerate() {
            if member.state != state {
                continue;
            }
            match refusal(member, index, task) {
                None => found.push(index),
                Some(refusal) => reason = reason.max(refusal),
            }
        }
        if found.is_empty() { Err(reason) } else { Ok(found) }
    }
}

fn refusal(member: &Member, index: usize, task: &Task) -> Option<Unavailable> {
    if task.tried.contains(&index) {
        return Some(Unavailable::Exhausted);
    }
    if member.in_flight() >= member.connections {
        return Some(Unavailable::Connections);
    }
    if task.class == Class::Long && member.long_slots == 0 {
        return Some(Unavailable::Unowned);
    }
    if task.class == Class::Long && member.long_in_flight >= member.long_slots {
        return Some(Unavailable::LongSlots);
    }
    None
}
