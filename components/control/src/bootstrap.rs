use crate::Agent;
use crate::heartbeat::Peer;
use crate::setup::HEARTBEAT_TIMEOUT;
use clock::Millis;
use peer::message::{Body, Request};

/// Time between two attempts to obtain a first configuration.
const RETRY_INTERVAL: Millis = Millis(500);

impl Agent {
    /// Waits until this VM has a configuration, from the platform or from a peer.
    ///
    /// The greatest version among the table's and those of the reachable peers is installed first,
    /// so a VM that starts among stale peers doesn't serve an old version while the table or an
    /// up-to-date peer can be reached.
    pub(crate) async fn bootstrap(&self) {
        loop {
            self.poll().await;
            let peers = self.fetch_rosters().await;
            self.fetch_newest(&peers).await;
            if self.stamp().version > 0 {
                return;
            }
            self.settings.clock.sleep(RETRY_INTERVAL).await;
        }
    }

    /// Fetches the roster from the peers listed in `node.ini`, and returns those that replied.
    async fn fetch_rosters(&self) -> Vec<Peer> {
        let mut reached = Vec::new();
        for address in self.settings.node.peers.clone() {
            let peer = Peer::unnamed(address);
            let response = self.request(&peer, Request::Roster, HEARTBEAT_TIMEOUT).await;
            let Ok(Body::Roster(roster)) = response else { continue };
            let mut state = self.state();
            for record in roster.records {
                state.roster.apply(record);
            }
            state.roster.import_upstreams(roster.upstreams);
            reached.push(peer);
        }
        reached
    }

    /// Fetches the updates that peers reported, newest first.
    async fn fetch_newest(&self, peers: &[Peer]) {
        let mut updates: Vec<_> = {
            let state = self.state();
            state.updates.iter().map(|(address, update)| (*address, update.clone())).collect()
        };
        updates.sort_by_key(|(_, update)| std::cmp::Reverse(update.stamp));
        for (address, update) in updates.into_iter().take(peers.len()) {
            if let Err(error) = self.fetch_from(address, &update).await {
                log::warn!(
                    "fetching an update from {address} failed: {error}; trying the next peer"
                );
            }
        }
    }
}
