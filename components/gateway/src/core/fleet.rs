//! What this VM knows of the other VMs, and its role among them.

use super::Core;
use clock::Millis;
use std::net::SocketAddr;
use steering::catalogue::Feed;
use steering::convergence::Convergence;
use steering::membership::{Member, Members};
use steering::readers::{self, Role};
use steering::withdrawal;

/// Time without a heartbeat after which an entry VM is considered dead. Several heartbeats may be
/// lost before, but look-ups must not name a dead VM for longer than the settling time and 3 s.
pub const MEMBER_TIMEOUT: Millis = Millis(3_000);
/// How much longer a poll waits than until its response is wanted; it may wait for less by a part.
const POLL_MARGIN: Millis = Millis(20);
/// How long a dead VM is still counted among those that share a budget.
pub const BUDGET_SHARE_RETENTION: Millis = Millis::from_secs(15);

impl Core {
    /// The live VMs that this VM knows, including itself, if peers may compare their views with it.
    pub fn reference_count(&self) -> Option<usize> {
        let is_reference = self.convergence.borrow().is_reference(self.clock.now());
        (self.has_converged() && is_reference).then(|| self.live_count())
    }

    /// The live VMs that this VM knows, including itself.
    pub fn live_count(&self) -> usize {
        self.members.borrow().alive(self.clock.now()).count() + 1
    }

    /// Records a round of heartbeats. After a pause in which all peers seem to have died, what this
    /// VM knows of them is as old as the pause, and it has to converge anew.
    pub fn record_round(&self) {
        let now = self.clock.now();
        let pause = now - self.last_round.replace(now);
        if pause >= MEMBER_TIMEOUT {
            log::info!(
                target: "belief", pause_ms = pause.0;
                "no heartbeats sent during a pause; refusing look-ups until the VMs are known again"
            );
            *self.convergence.borrow_mut() = Convergence::new(now);
        }
    }

    /// Whether this VM knows the others well enough to answer look-ups.
    pub fn has_converged(&self) -> bool {
        if self.clock.now() - self.last_round.get() >= MEMBER_TIMEOUT {
            return false;
        }
        let mut convergence = self.convergence.borrow_mut();
        if convergence.has_converged() {
            return true;
        }
        let (live, now) = (self.live_count(), self.clock.now());
        if convergence.judge(live, now) {
            log::info!(
                target: "belief", live = live, reported = convergence.reported(),
                up_ms = (now - self.started).0;
                "the deployment's VMs are known; answering look-ups"
            );
        }
        convergence.has_converged()
    }

    /// The number of entry VMs that may send to upstreams, including this one and those that died a
    /// short time ago.
    pub fn sender_count(&self) -> usize {
        self.members.borrow().recent(self.clock.now()) + 1
    }

    /// How this VM gets the changes of `feed`.
    pub fn role(&self, feed: Feed) -> Role {
        if !self.catalogue.borrow().is_listed(feed) {
            return Role::Reader;
        }
        let now = self.clock.now();
        let members = self.members.borrow();
        let in_region = self.alive_in_region(&members, now);
        let in_region = in_region.iter().map(|member| member.vm.as_ref());
        let fleet = members.alive(now).count() + 1;
        let limits = self.staleness_limits(feed);
        readers::role(&self.settings().vm, in_region, fleet, self.confirmed_age(feed), limits)
    }

    /// How long a request of this VM for changes of `feed` waits for them.
    pub fn poll_wait(&self, feed: Feed) -> Millis {
        let fleet = self.members.borrow().alive(self.clock.now()).count() + 1;
        let (age, bounds) = (self.confirmed_age(feed), self.settings().bounds);
        let wait = readers::poll_wait(fleet, age, self.staleness_limits(feed), bounds.settling);
        let Some(bound) = bounds.withdrawal.filter(|_| feed == Feed::Operators) else {
            return wait;
        };
        let wait = wait.min(withdrawal::poll_wait(bound));
        // The first confirmation that counts in a new era is wanted as soon as there can be one.
        match self.key_confirmation.get().remaining(self.clock.now()) {
            Millis::ZERO => wait,
            remaining => wait.min(remaining + POLL_MARGIN),
        }
    }

    /// The heartbeat addresses of the readers of this VM's region.
    pub fn reader_addresses(&self) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let in_region = self.alive_in_region(&members, self.clock.now());
        let names = readers::select(in_region.iter().map(|member| member.vm.as_ref()));
        let readers = in_region.iter().filter(|member| names.contains(&member.vm.as_ref()));
        readers.map(|member| member.heartbeats).collect()
    }

    /// The other live VMs of this VM's region.
    fn alive_in_region<'a>(&self, members: &'a Members, now: Millis) -> Vec<&'a Member> {
        let settings = self.settings();
        let is_near = |member: &&Member| {
            settings.regions.get(&member.domain).is_some_and(|region| *region == settings.region)
        };
        members.alive(now).filter(is_near).collect()
    }
}
