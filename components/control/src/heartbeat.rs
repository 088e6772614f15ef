use crate::Agent;
use crate::setup::{HEARTBEAT, HEARTBEAT_TIMEOUT, INDIRECT_PROBES, RUMOUR, RUMOUR_FANOUT};
use crate::state::Ahead;
use clock::Millis;
use peer::message::{Ask, Body, Header};
use peer::{Failure, Message};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// A probe that took longer says that this VM was paused, and nothing of the peer.
const PROBE_LIMIT: Millis = Millis(5000);

/// A peer to talk to.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub name: Arc<str>,
    pub address: SocketAddr,
}

impl Peer {
    /// A peer of which only the address is known.
    pub(crate) fn unnamed(address: SocketAddr) -> Peer {
        Peer { name: address.to_string().into(), address }
    }
}

impl Agent {
    /// Asks `peer` and takes in the header of its reply.
    pub(crate) async fn ask(
        &self,
        peer: &Peer,
        ask: Ask,
        timeout: Millis,
    ) -> Result<Body, Failure> {
        let header = self.header(Some(&peer.name));
        let call = self.transport.call(peer.address, Message { header, ask });
        let reply = tokio::time::timeout(timeout.duration(), call).await;
        let late = |_| Failure::Lost { context: format!("{}: no reply in {timeout}", peer.name) };
        let reply = reply.map_err(late)??;
        self.absorb(reply.header, None);
        Ok(reply.body)
    }

    /// The header of a message to `peer`.
    pub(crate) fn header(&self, peer: Option<&str>) -> Header {
        let now = self.settings.clock.now();
        let mut state = self.state();
        let draw: u16 = state.random.random();
        Header {
            sample: state.roster.sample(draw),
            own: state.roster.own().clone(),
            stamp: state.stamp(),
            records: state.roster.take_records(peer),
            notices: state.roster.take_notices(now),
        }
    }

    /// Takes in what a peer says of itself and of others.
    ///
    /// `origin` is given when the peer says that it has just installed something.
    pub(crate) fn absorb(&self, header: Header, origin: Option<&Arc<str>>) {
        let now = self.settings.clock.now();
        let mut state = self.state();
        let from = Arc::clone(&header.own.vm.name);
        let address = header.own.vm.peer;
        let mut changed = state.roster.merge(header.own);
        for record in header.records {
            changed |= state.roster.merge(record);
        }
        for notice in header.notices {
            changed |= state.roster.notice(notice.upstream, now - notice.age);
        }
        state.stamps.insert(Arc::clone(&from), header.stamp);
        let wanted = origin.is_some() || self.settings.dissemination.pulls();
        if wanted && state.is_behind(header.stamp) {
            let origin = origin.cloned().unwrap_or(from);
            state.ahead.insert(address, Ahead { stamp: header.stamp, origin });
            self.fetch.notify_one();
        }
        drop(state);
        if changed {
            self.changed.notify_one();
        }
    }

    /// Sends a heartbeat to every other VM in turn, in an order that is shuffled each time.
    pub(crate) async fn beat(&self) {
        let mut round = VecDeque::new();
        let phase = self.state().random.random_range(0..HEARTBEAT.0);
        self.settings.clock.sleep(Millis(phase)).await;
        loop {
            let started = self.settings.clock.now();
            if round.is_empty() {
                round = self.shuffled_peers().into();
            }
            if let Some(peer) = round.pop_front() {
                self.probe(&peer).await;
            }
            let now = self.settings.clock.now();
            if self.state().roster.expire(now) {
                self.changed.notify_one();
            }
            self.settings.clock.sleep_until(started + HEARTBEAT).await;
        }
    }

    async fn probe(&self, peer: &Peer) {
        let started = self.settings.clock.now();
        for _ in 0..2 {
            if self.ask(peer, Ask::Heartbeat, HEARTBEAT_TIMEOUT).await.is_ok() {
                return;
            }
        }
        let answers = self.probe_through_others(peer).await;
        let was_paused = self.settings.clock.now() - started > PROBE_LIMIT;
        if answers || was_paused {
            return;
        }
        if self.state().roster.suspect(&peer.name) {
            log::warn!("{} doesn't answer", peer.name);
            self.changed.notify_one();
        }
    }

    /// Asks others to probe `peer`, since only the way to it may be broken.
    async fn probe_through_others(&self, peer: &Peer) -> bool {
        let others = self.random_peers(INDIRECT_PROBES + 1);
        let others = others.iter().filter(|other| other.name != peer.name).take(INDIRECT_PROBES);
        for other in others {
            let ask = Ask::Probe { peer: peer.address };
            if let Ok(Body::Heard) =
                self.ask(other, ask, HEARTBEAT_TIMEOUT + HEARTBEAT_TIMEOUT).await
            {
                return true;
            }
        }
        false
    }

    /// Passes fresh membership changes on to a few others.
    pub(crate) async fn pass_rumours(self: Arc<Agent>) {
        let mut calls = JoinSet::new();
        loop {
            self.settings.clock.sleep(RUMOUR).await;
            while calls.try_join_next().is_some() {}
            if !self.state().roster.has_news() {
                continue;
            }
            for peer in self.random_peers(RUMOUR_FANOUT) {
                let agent = Arc::clone(&self);
                calls.spawn(async move {
                    agent.ask(&peer, Ask::Heartbeat, HEARTBEAT_TIMEOUT).await.is_ok()
                });
            }
        }
    }

    /// Every other VM, in random order.
    pub(crate) fn shuffled_peers(&self) -> Vec<Peer> {
        let mut state = self.state();
        let mut peers: Vec<Peer> =
            state.roster.others().map(|record| peer_of(&record.vm)).collect();
        peers.shuffle(&mut state.random);
        peers
    }

    /// At most `count` other VMs, chosen at random among those that answer.
    pub(crate) fn random_peers(&self, count: usize) -> Vec<Peer> {
        let mut state = self.state();
        let live = |vm: &steering::Vm| vm.state != steering::State::Suspect;
        let others = state.roster.others().filter(|record| live(&record.vm));
        let mut peers: Vec<Peer> = others.map(|record| peer_of(&record.vm)).collect();
        let (chosen, _) = peers.partial_shuffle(&mut state.random, count);
        chosen.to_vec()
    }
}

pub(crate) fn peer_of(vm: &steering::Vm) -> Peer {
    Peer { name: Arc::clone(&vm.name), address: vm.peer }
}
