use super::member::{Member, Outcome, Report, Ticket};
use super::{Subset, Task, Unavailable};
use super::{ejection, ranked};
use crate::State;
use clock::Millis;
use settings::Class;
use std::sync::Arc;

/// Shortest interval between two updates of the median and the ejections.
const MEDIAN_PERIOD: Millis = Millis(10);

/// What one entry VM has observed of one service's upstreams.
///
/// Indices stay valid for requests in flight: an upstream that left the subset keeps its index
/// until the last of them has ended.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    members: Vec<Member>,
    median: Option<f64>,
    median_at: Option<Millis>,
}

impl Pool {
    /// A pool without upstreams.
    pub fn new() -> Pool {
        Pool::default()
    }

    /// Takes over the subset of a new snapshot and keeps the observations.
    ///
    /// Upstreams that are new or take requests again after leaving are ramped. Those of a pool's
    /// first subset are not, since it is unknown when they started.
    pub fn update(&mut self, subset: &Subset, now: Millis) {
        let first = self.members.is_empty();
        let listed =
            |member: &Member| subset.candidates.iter().any(|c| c.upstream.name == member.name);
        for member in &mut self.members {
            if !listed(member) {
                member.state = State::Leaving;
                member.listed = false;
            }
        }
        for candidate in &subset.candidates {
            let index = self.find_or_insert(&candidate.upstream.name);
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

    /// The index of the upstream called `name`; an unknown one gets a free index or a new one.
    fn find_or_insert(&mut self, name: &Arc<str>) -> usize {
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

    /// The index of the upstream called `name`.
    pub fn index(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| &*member.name == name)
    }

    /// Marks an upstream as leaving by its own statement, which arrives before a subset without it.
    pub fn mark_leaving(&mut self, index: usize) {
        self.members[index].state = State::Leaving;
    }

    /// Records an upstream's load report.
    pub fn report(&mut self, index: usize, report: Report) {
        self.members[index].report = Some(report);
    }

    /// Records that a request is sent to a picked upstream.
    pub fn start(&mut self, index: usize, class: Class, probe: bool, now: Millis) -> Ticket {
        let member = &mut self.members[index];
        if probe && let Some(ejection) = &mut member.ejection {
            ejection.postpone_probe(now);
        }
        member.start(index, class, probe, now)
    }

    /// Records how a request ended; to be called once for each ticket.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Millis) {
        let median = self.median_service_time();
        let member = &mut self.members[ticket.index];
        member.finish(ticket, outcome, now);
        ejection::finish_probe(member, ticket, outcome, median, now);
    }

    /// The median service time of the upstreams in use, in milliseconds; zero while unknown.
    pub fn median_service_time(&self) -> f64 {
        self.median.unwrap_or_default()
    }

    /// The expected time to the response of `task`, round trip and queueing included; `None` if it
    /// can't be sent to any upstream that is not ejected.
    ///
    /// A request that the pools of several regions may serve goes to the one that is expected to
    /// respond first among those whose limits admit it.
    pub fn expected(&mut self, task: &Task, now: Millis) -> Option<Millis> {
        self.update_ejections(now);
        let eligible = self.eligible(task).ok()?;
        let least = ranked::least_cost(&self.members, &eligible, self.median_service_time(), now);
        least.is_finite().then_some(Millis(least as u64))
    }

    /// Updates the median service time, ejects slow upstreams and returns those whose probe is
    /// overdue.
    pub(super) fn update_ejections(&mut self, now: Millis) {
        if self.median_at.is_some_and(|at| now - at < MEDIAN_PERIOD && at <= now) {
            return;
        }
        self.median_at = Some(now);
        ejection::return_unprobed(&mut self.members, now);
        self.median = ejection::median_service_time(&self.members, self.median, now);
        let Some(median) = self.median else { return };
        ejection::eject_slowest(&mut self.members, median, now);
    }

    /// The upstreams that may be sent `task`, or why there is none.
    ///
    /// Suspected upstreams are among them only if no live one is left.
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
            match obstacle(member, index, task) {
                None => found.push(index),
                Some(obstacle) => reason = reason.max(obstacle),
            }
        }
        if found.is_empty() { Err(reason) } else { Ok(found) }
    }
}

/// Why an upstream may not be sent `task`; `None` if it may.
fn obstacle(member: &Member, index: usize, task: &Task) -> Option<Unavailable> {
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
