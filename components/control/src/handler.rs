use crate::Agent;
use crate::heartbeat::Peer;
use crate::setup::HEARTBEAT_TIMEOUT;
use async_trait::async_trait;
use errors::Kind;
use peer::message::{Body, Request, Roster};
use peer::{Blob, Handler, Message, Reply};
use std::net::SocketAddr;
use std::sync::Arc;

#[async_trait]
impl Handler for Agent {
    async fn handle(&self, message: Message) -> Reply {
        let from = Arc::clone(&message.header.own.vm.name);
        let origin = match &message.request {
            Request::Push { origin } => Some(Arc::clone(origin)),
            _ => None,
        };
        let digest = message.header.roster_digest;
        self.process_header(message.header, origin.as_ref());
        let body = self.respond(&from, message.request).await;
        let mut header = self.header(Some(&from));
        header.records.extend(self.state().roster.records_if_different(digest));
        Reply { header, body }
    }
}

impl Agent {
    /// Handles a request of the VM `from`.
    async fn respond(&self, from: &Arc<str>, request: Request) -> Body {
        match request {
            Request::Heartbeat | Request::Push { .. } => Body::Acknowledged,
            Request::Probe { peer } => self.probe_for_peer(peer).await,
            Request::Current => match &self.state().installed {
                Some(installed) => Body::Current(installed.current.clone()),
                None => Body::Refused(Kind::NotReady),
            },
            Request::Declaration { digest } => match self.body_of(&digest) {
                Some(body) => Body::Declaration(Blob(body)),
                None => Body::Refused(Kind::NotReady),
            },
            Request::Plan => Body::Plan(self.state().plan.as_ref().clone()),
            Request::Roster => Body::Roster(self.roster()),
            Request::Load(load) => {
                self.state().loads.insert(Arc::clone(from), load);
                Body::Acknowledged
            }
        }
    }

    fn roster(&self) -> Roster {
        let now = self.settings.clock.now();
        let state = self.state();
        Roster { records: state.roster.records(), upstreams: state.roster.upstreams(now) }
    }

    /// Sends a heartbeat to `address` on behalf of a peer that couldn't reach it.
    async fn probe_for_peer(&self, address: SocketAddr) -> Body {
        let peer = Peer::unnamed(address);
        match self.request(&peer, Request::Heartbeat, HEARTBEAT_TIMEOUT).await {
            Ok(_) => Body::Acknowledged,
            Err(_) => Body::Unreachable,
        }
    }
}
