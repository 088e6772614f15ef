use crate::Agent;
use crate::setup::{
    GOSSIP_FANOUT, GOSSIP_INTERVAL, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT, INDIRECT_PROBES,
};
use crate::state::Update;
use clock::Millis;
use peer::message::{Body, Header, Request};
use peer::{Failure, Message};
use rand::RngExt;
use rand::seq::SliceRandom;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// A probe that took longer shows that this VM was paused, and says nothing about the peer.
const PAUSE_THRESHOLD: Millis = Millis(5000);

/// The name and address of a peer.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub name: Arc<str>,
    pub address: SocketAddr,
}

impl Peer {
    /// A peer of which only the address is known; it is used as the name too.
    pub(crate) fn unnamed(address: SocketAddr) -> Peer {
        Peer { name: address.to_string().into(), address }
    }
}

impl Agent {
    /// Sends a request to `peer`, processes the header of the reply, and returns the body.
    ///
    /// # Errors
    ///
    /// The transport's [`Failure`], or [`Failure::Lost`] when there is no reply within `timeout`.
    pub(crate) async fn request(
        &self,
        peer: &Peer,
        request: Request,
        timeout: Millis,
    ) -> Result<Body, Failure> {
        let header = self.header(Some(&peer.name));
        let call = self.transport.call(peer.address, Message { header, request });
        let reply = tokio::time::timeout(timeout.duration(), call).await;
        let late =
            |_| Failure::Lost { context: format!("no reply from {} within {timeout}", peer.name) };
        let reply = reply.map_err(late)??;
        self.process_header(reply.header, None);
        Ok(reply.body)
    }

    /// The header of a message or reply to `peer`.
    pub(crate) fn header(&self, peer: Option<&str>) -> Header {
        let now = self.settings.clock.now();
        let mut state = self.state();
        let draw: u16 = state.random.random();
        Header {
            roster_digest: state.roster.part_digest(draw),
            own: state.roster.own().clone(),
            stamp: state.stamp(),
            records: state.roster.take_records(peer),
            leaving_notices: state.roster.take_notices(now),
        }
    }

    /// Applies what the header of a peer's message reports about the peer and about other VMs.
    ///
    /// `origin` is where an update originated, if the message pushes one.
    pub(crate) fn process_header(&self, header: Header, origin: Option<&Arc<str>>) {
        let now = self.settings.clock.now();
        let mut state = self.state();
        let from = Arc::clone(&header.own.vm.name);
        let address = header.own.vm.peer;
        let mut changed = state.roster.merge(header.own);
        for record in header.records {
            changed |= state.roster.merge(record);
        }
        for notice in header.leaving_notices {
            changed |= state.roster.mark_leaving(notice.upstream, now - notice.age);
        }
        state.stamps.insert(Arc::clone(&from), header.stamp);
        let wanted = origin.is_some() || self.settings.dissemination.pulls();
        if wanted && state.is_behind(header.stamp) {
            let origin = origin.cloned().unwrap_or(from);
            state.updates.insert(address, Update { stamp: header.stamp, origin });
            self.fetch_due.notify_one();
        }
        drop(state);
        if changed {
            self.snapshot_due.notify_one();
        }
    }

    /// Sends heartbeats to all peers in turn, in an order that is shuffled for each round.
    pub(crate) async fn run_heartbeats(&self) {
        let mut round = VecDeque::new();
        let phase = self.state().random.random_range(0..HEARTBEAT_INTERVAL.0);
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
            if self.state().roster.expire_notices(now) {
                self.snapshot_due.notify_one();
            }
            self.settings.clock.sleep_until(started + HEARTBEAT_INTERVAL).await;
        }
    }

    async fn probe(&self, peer: &Peer) {
        let started = self.settings.clock.now();
        for _ in 0..2 {
            if self.request(peer, Request::Heartbeat, HEARTBEAT_TIMEOUT).await.is_ok() {
                return;
            }
        }
        let reachable = self.probe_through_peers(peer).await;
        let was_paused = self.settings.clock.now() - started > PAUSE_THRESHOLD;
        if reachable || was_paused {
            return;
        }
        if self.state().roster.suspect(&peer.name) {
            log::warn!("VM {} did not reply to direct or indirect probes; suspected", peer.name);
            self.snapshot_due.notify_one();
        }
    }

    /// Asks other peers to probe `peer`, since only the link from this VM to it may be broken.
    async fn probe_through_peers(&self, peer: &Peer) -> bool {
        let helpers = self.random_peers(INDIRECT_PROBES + 1);
        let helpers =
            helpers.iter().filter(|helper| helper.name != peer.name).take(INDIRECT_PROBES);
        for helper in helpers {
            let request = Request::Probe { peer: peer.address };
            if let Ok(Body::Acknowledged) =
                self.request(helper, request, HEARTBEAT_TIMEOUT + HEARTBEAT_TIMEOUT).await
            {
                return true;
            }
        }
        false
    }

    /// Gossips membership changes to a few random peers each round.
    pub(crate) async fn gossip_changes(self: Arc<Agent>) {
        let mut calls = JoinSet::new();
        loop {
            self.settings.clock.sleep(GOSSIP_INTERVAL).await;
            while calls.try_join_next().is_some() {}
            if !self.state().roster.has_changes() {
                continue;
            }
            for peer in self.random_peers(GOSSIP_FANOUT) {
                let agent = Arc::clone(&self);
                calls.spawn(async move {
                    agent.request(&peer, Request::Heartbeat, HEARTBEAT_TIMEOUT).await.is_ok()
                });
            }
        }
    }

    /// All peers, in random order.
    pub(crate) fn shuffled_peers(&self) -> Vec<Peer> {
        let mut state = self.state();
        let mut peers: Vec<Peer> = state.roster.peers().map(|record| peer_of(&record.vm)).collect();
        peers.shuffle(&mut state.random);
        peers
    }

    /// At most `count` peers, chosen at random among those that aren't suspected.
    pub(crate) fn random_peers(&self, count: usize) -> Vec<Peer> {
        let mut state = self.state();
        let unsuspected = |vm: &steering::Vm| vm.state != steering::State::Suspect;
        let records = state.roster.peers().filter(|record| unsuspected(&record.vm));
        let mut peers: Vec<Peer> = records.map(|record| peer_of(&record.vm)).collect();
        let (chosen, _) = peers.partial_shuffle(&mut state.random, count);
        chosen.to_vec()
    }
}

pub(crate) fn peer_of(vm: &steering::Vm) -> Peer {
    Peer { name: Arc::clone(&vm.name), address: vm.peer }
}
