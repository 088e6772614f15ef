use crate::Agent;
use crate::dissemination::Hop;
use crate::heartbeat::{Peer, peer_of};
use crate::state::Ahead;
use clock::Millis;
use errors::{Error, Kind};
use peer::message::{Ask, Body, Current};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// How long a peer may take to send a configuration or a plan.
const TIMEOUT: Millis = Millis(800);

impl Agent {
    /// Fetches what peers have that is newer, whenever one is seen to be ahead.
    pub(crate) async fn fetch_news(&self) {
        loop {
            self.fetch.notified().await;
            while let Some((address, ahead)) = self.next_ahead() {
                if let Err(error) = self.fetch_from(address, &ahead).await {
                    log::warn!("can't fetch from {address}: {error}");
                }
            }
        }
    }

    /// Takes the peer that is furthest ahead; those that no longer are get dropped.
    fn next_ahead(&self) -> Option<(SocketAddr, Ahead)> {
        let mut state = self.state();
        let ahead = std::mem::take(&mut state.ahead);
        state.ahead = ahead.into_iter().filter(|(_, ahead)| state.is_behind(ahead.stamp)).collect();
        let address = *state.ahead.iter().max_by_key(|(_, ahead)| ahead.stamp)?.0;
        state.ahead.remove_entry(&address)
    }

    pub(crate) async fn fetch_from(&self, address: SocketAddr, ahead: &Ahead) -> Result<(), Error> {
        let peer = Peer::unnamed(address);
        if ahead.stamp.version > self.stamp().version {
            self.fetch_configuration(&peer, &ahead.origin).await?;
        }
        let own = self.stamp();
        if (ahead.stamp.epoch, ahead.stamp.sequence) > (own.epoch, own.sequence)
            && let Body::Plan(plan) = self.ask(&peer, Ask::Plan, TIMEOUT).await?
        {
            self.install_plan(plan, &ahead.origin);
        }
        Ok(())
    }

    async fn fetch_configuration(&self, peer: &Peer, origin: &Arc<str>) -> Result<(), Error> {
        let Body::Current(current) = self.ask(peer, Ask::Current, TIMEOUT).await? else {
            return Err(Error::new(Kind::NotReady, "the peer has no configuration"));
        };
        let body = match self.body_of(&current.digest) {
            Some(body) => body,
            None => self.fetch_declaration(peer, &current).await?,
        };
        self.install(current, body, origin)
    }

    async fn fetch_declaration(
        &self,
        peer: &Peer,
        current: &Current,
    ) -> Result<bytes::Bytes, Error> {
        let ask = Ask::Declaration { digest: Arc::clone(&current.digest) };
        match self.ask(peer, ask, TIMEOUT).await? {
            Body::Declaration(body) => Ok(body.0),
            _ => Err(Error::new(Kind::NotReady, "the peer has another declaration by now")),
        }
    }

    /// Tells others whenever something new is installed.
    pub(crate) async fn announce_news(self: Arc<Agent>) {
        let mut calls = JoinSet::new();
        loop {
            self.announce.notified().await;
            while calls.try_join_next().is_some() {}
            for (peer, origin) in self.take_announcements() {
                let agent = Arc::clone(&self);
                calls.spawn(async move {
                    agent.ask(&peer, Ask::Push { origin }, TIMEOUT).await.is_ok()
                });
            }
        }
    }

    fn take_announcements(&self) -> Vec<(Peer, Arc<str>)> {
        let mut state = self.state();
        let origins = std::mem::take(&mut state.announcements);
        let Some(origin) = origins.last().cloned() else { return Vec::new() };
        let names = state.roster.names();
        let me = state.roster.name();
        let hop = Hop { me: &me, origin: &origin };
        let targets = self.settings.dissemination.targets(&names, hop, &mut state.random);
        let peer = |at: usize| state.roster.get(&names[at]).map(|record| peer_of(&record.vm));
        let peers: Vec<Peer> = targets.into_iter().filter_map(peer).collect();
        peers.into_iter().map(|peer| (peer, Arc::clone(&origin))).collect()
    }
}
