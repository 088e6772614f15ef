use crate::Agent;
use crate::dissemination::Push;
use crate::heartbeat::{Peer, peer_of};
use crate::state::Update;
use clock::Millis;
use errors::{Error, Kind};
use peer::message::{Body, Current, Request};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::task::JoinSet;

/// How long a peer may take to reply with a configuration or a plan, or to a push.
const FETCH_TIMEOUT: Millis = Millis(800);

impl Agent {
    /// Fetches newer configurations and plans whenever a peer reports that it has one.
    pub(crate) async fn fetch_updates(&self) {
        loop {
            self.fetch_due.notified().await;
            while let Some((address, update)) = self.next_update() {
                if let Err(error) = self.fetch_from(address, &update).await {
                    log::warn!(
                        "fetching an update from {address} failed: {error}; \
                         retrying when a peer reports it again"
                    );
                }
            }
        }
    }

    /// Takes the newest update, and drops those that are no longer newer than what is installed.
    fn next_update(&self) -> Option<(SocketAddr, Update)> {
        let mut state = self.state();
        let updates = std::mem::take(&mut state.updates);
        state.updates =
            updates.into_iter().filter(|(_, update)| state.is_behind(update.stamp)).collect();
        let address = *state.updates.iter().max_by_key(|(_, update)| update.stamp)?.0;
        state.updates.remove_entry(&address)
    }

    /// Fetches and installs `update` from the peer at `address`.
    ///
    /// # Errors
    ///
    /// The peer's failure, [`Kind::NotReady`] when the peer doesn't have the update any more, or
    /// [`Kind::Malformed`] when what it sent can't be installed.
    pub(crate) async fn fetch_from(
        &self,
        address: SocketAddr,
        update: &Update,
    ) -> Result<(), Error> {
        let peer = Peer::unnamed(address);
        if update.stamp.version > self.stamp().version {
            self.fetch_configuration(&peer, &update.origin).await?;
        }
        let own = self.stamp();
        if (update.stamp.epoch, update.stamp.sequence) > (own.epoch, own.sequence)
            && let Body::Plan(plan) = self.request(&peer, Request::Plan, FETCH_TIMEOUT).await?
        {
            self.install_plan(plan, &update.origin);
        }
        Ok(())
    }

    async fn fetch_configuration(&self, peer: &Peer, origin: &Arc<str>) -> Result<(), Error> {
        let Body::Current(current) = self.request(peer, Request::Current, FETCH_TIMEOUT).await?
        else {
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
        let request = Request::Declaration { digest: Arc::clone(&current.digest) };
        match self.request(peer, request, FETCH_TIMEOUT).await? {
            Body::Declaration(body) => Ok(body.0),
            _ => Err(Error::new(
                Kind::NotReady,
                "the peer no longer has the declaration that it referred to",
            )),
        }
    }

    /// Pushes an update to peers whenever a configuration or a plan was installed.
    pub(crate) async fn push_updates(self: Arc<Agent>) {
        let mut calls = JoinSet::new();
        loop {
            self.push_due.notified().await;
            while calls.try_join_next().is_some() {}
            for (peer, origin) in self.take_pushes() {
                let agent = Arc::clone(&self);
                calls.spawn(async move {
                    agent.request(&peer, Request::Push { origin }, FETCH_TIMEOUT).await.is_ok()
                });
            }
        }
    }

    /// The peers to push to, with the origin of the latest update.
    fn take_pushes(&self) -> Vec<(Peer, Arc<str>)> {
        let mut state = self.state();
        let origins = std::mem::take(&mut state.pending_pushes);
        let Some(origin) = origins.last().cloned() else { return Vec::new() };
        let names = state.roster.names();
        let sender = state.roster.name();
        let push = Push { sender: &sender, origin: &origin };
        let targets = self.settings.dissemination.targets(&names, push, &mut state.random);
        let peer = |at: usize| state.roster.get(&names[at]).map(|record| peer_of(&record.vm));
        let peers: Vec<Peer> = targets.into_iter().filter_map(peer).collect();
        peers.into_iter().map(|peer| (peer, Arc::clone(&origin))).collect()
    }
}
